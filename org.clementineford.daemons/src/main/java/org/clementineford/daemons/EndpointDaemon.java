package org.clementineford.daemons;

import org.clementineford.kernel.VmRole;

/** Process of an endpoint VM. */
public final class EndpointDaemon {
  private EndpointDaemon() {}

  /**
   * Runs until SIGTERM.
   *
   * @param arguments flags; {@code --help} lists them
   */
  public static void main(String[] arguments) {
    Daemon.run("endpoint-vm", VmRole.ENDPOINT, arguments);
  }
}
