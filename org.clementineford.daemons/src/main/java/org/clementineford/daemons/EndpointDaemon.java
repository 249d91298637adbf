package org.clementineford.daemons;

import org.clementineford.kernel.VmRole;

/** Main class of the daemon that runs on an endpoint VM. */
public final class EndpointDaemon {
  private EndpointDaemon() {}

  /**
   * Starts the daemon, which runs until SIGTERM.
   *
   * @param arguments command-line flags; {@code --help} lists them
   */
  public static void main(String[] arguments) {
    Daemon.run("endpoint-vm", VmRole.ENDPOINT, arguments);
  }
}
