package org.clementineford.kernel;

import java.net.InetSocketAddress;
import org.clementineford.kernel.errors.SettingException;

/**
 * An IP address and a TCP port.
 *
 * @param host IP address in text form
 * @param port TCP port, 0 to 65535; 0 lets the operating system choose a port to listen on
 */
public record HostPort(String host, int port) {
  private static final int MAX_PORT = 65535;
  private static final MessageCatalog MESSAGES = MessageCatalog.of(HostPort.class);

  /**
   * Parses {@code host:port}.
   *
   * @param text text in the form {@code host:port}
   * @return the address
   * @throws SettingException if the text has another form or the port is out of range
   */
  public static HostPort parse(String text) throws SettingException {
    int colon = text.lastIndexOf(':');
    if (colon > 0) {
      try {
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port >= 0 && port <= MAX_PORT) {
          return new HostPort(text.substring(0, colon), port);
        }
      } catch (NumberFormatException e) {
        // Handled by the throw statement below, like the other malformed texts.
      }
    }
    throw new SettingException(MESSAGES.format("ADDRESS_MALFORMED", text));
  }

  /**
   * Converts to a socket address.
   *
   * @return the socket address; the host is an IP address, so no name lookup takes place
   */
  public InetSocketAddress toSocketAddress() {
    return new InetSocketAddress(host, port);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
