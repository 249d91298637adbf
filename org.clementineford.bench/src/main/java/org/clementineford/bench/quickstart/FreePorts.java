package org.clementineford.bench.quickstart;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Prints free TCP ports of the loopback interface, separated by spaces.
 *
 * <p>They lie below the range from which systems usually take the local ports of outgoing
 * connections. A port from that range can be taken by such a connection before its process listens.
 */
public final class FreePorts {
  private static final int LOWEST_PORT = 15_000;
  private static final int HIGHEST_PORT = 32_000;
  private static final int MAX_TRIES = 10_000;

  private FreePorts() {}

  /**
   * Finds ports. All are held until the last is found, so they differ.
   *
   * @param arguments number of ports
   * @throws IOException if too few ports are free
   */
  public static void main(String[] arguments) throws IOException {
    int wanted = Integer.parseInt(arguments[0]);
    SplittableRandom random = new SplittableRandom();
    List<ServerSocket> held = new ArrayList<>();
    List<String> ports = new ArrayList<>();
    for (int tries = 0; ports.size() < wanted; tries++) {
      if (tries == MAX_TRIES) {
        throw new IOException("fewer than " + wanted + " free ports; stop other processes");
      }
      int port = random.nextInt(LOWEST_PORT, HIGHEST_PORT);
      try {
        held.add(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
        ports.add(Integer.toString(port));
      } catch (IOException e) {
        // The port is in use; the next one is tried.
      }
    }
    for (ServerSocket socket : held) {
      socket.close();
    }
    System.out.println(String.join(" ", ports));
  }
}
