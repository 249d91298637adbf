package org.clementineford.testing;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.clementineford.kernel.HostPort;

/**
 * Finds free TCP ports on the loopback interface for listeners that start or restart later.
 *
 * <p>The ports lie below the usual ephemeral port range. An outgoing connection could take a port
 * of that range before the listener binds it.
 */
public final class FreePorts {
  private static final int LOWEST_PORT = 15_000;
  private static final int HIGHEST_PORT = 32_000;
  private static final int MAX_TRIES = 10_000;

  private FreePorts() {}

  /**
   * Prints free ports, separated by spaces.
   *
   * @param arguments number of ports
   * @throws IOException if too few ports are free
   */
  public static void main(String[] arguments) throws IOException {
    System.out.println(
        find(Integer.parseInt(arguments[0])).stream()
            .map(address -> Integer.toString(address.port()))
            .collect(Collectors.joining(" ")));
  }

  /**
   * Finds one free port.
   *
   * @return its address on loopback
   * @throws IOException if no port is free
   */
  public static HostPort find() throws IOException {
    return find(1).get(0);
  }

  /**
   * Finds distinct free ports. Each port stays bound until the last one is found, so that none is
   * returned twice.
   *
   * @param count number of ports
   * @return their addresses on loopback
   * @throws IOException if too few ports are free
   */
  public static List<HostPort> find(int count) throws IOException {
    SplittableRandom random = new SplittableRandom();
    List<ServerSocket> bound = new ArrayList<>();
    List<HostPort> found = new ArrayList<>();
    for (int tries = 0; found.size() < count; tries++) {
      if (tries == MAX_TRIES) {
        throw new IOException("fewer than " + count + " free ports; stop other processes");
      }
      int port = random.nextInt(LOWEST_PORT, HIGHEST_PORT);
      try {
        bound.add(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
        found.add(new HostPort("127.0.0.1", port));
      } catch (IOException e) {
        // The port is in use; try another one.
      }
    }
    for (ServerSocket socket : bound) {
      socket.close();
    }
    return found;
  }
}
