package org.clementineford.daemons;

import org.clementineford.kernel.VmRole;

/** Process of an entry VM. */
public final class EntryDaemon {
  private EntryDaemon() {}

  /**
   * Runs until SIGTERM.
   *
   * @param arguments flags; {@code --help} lists them
   */
  public static void main(String[] arguments) {
    Daemon.run("entry-vm", VmRole.ENTRY, arguments);
  }
}
