package org.clementineford.daemons;

import org.clementineford.kernel.VmRole;

/** Main class of the daemon that runs on an entry VM. */
public final class EntryDaemon {
  private EntryDaemon() {}

  /**
   * Starts the daemon, which runs until SIGTERM.
   *
   * @param arguments command-line flags; {@code --help} lists them
   */
  public static void main(String[] arguments) {
    Daemon.run("entry-vm", VmRole.ENTRY, arguments);
  }
}
