package org.clementineford.bench.quickstart;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Prints free TCP ports of the loopback interface, separated by spaces. */
public final class FreePorts {
  private FreePorts() {}

  /**
   * Finds ports. All are held until the last is found, so they differ.
   *
   * @param arguments number of ports
   * @throws IOException if no port is free
   */
  public static void main(String[] arguments) throws IOException {
    List<ServerSocket> held = new ArrayList<>();
    List<String> ports = new ArrayList<>();
    for (int i = 0; i < Integer.parseInt(arguments[0]); i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      held.add(socket);
      ports.add(Integer.toString(socket.getLocalPort()));
    }
    for (ServerSocket socket : held) {
      socket.close();
    }
    System.out.println(String.join(" ", ports));
  }
}
