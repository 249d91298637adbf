package org.clementineford.kernel;

import java.net.InetSocketAddress;
import org.clementineford.kernel.errors.SettingException;

/**
 * IP address and TCP port.
 *
 * @param host IP address in text form
 * @param port TCP port, 0 to 65535; 0 lets the system choose when listening
 */
public record HostPort(String host, int port) {
  private static final int MAX_PORT = 65535;
  private static final MessageCatalog MESSAGES = MessageCatalog.of(HostPort.class);

  /**
   * Parses {@code host:port}.
   *
   * @param text the text
   * @return the address
   * @throws SettingException if the text has another form
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
        // Reported below together with the other malformed forms.
      }
    }
    throw new SettingException(MESSAGES.format("ADDRESS_MALFORMED", text));
  }

  /**
   * Returns the socket address.
   *
   * @return an address whose host is an IP number, so no name is looked up
   */
  public InetSocketAddress toSocketAddress() {
    return new InetSocketAddress(host, port);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
