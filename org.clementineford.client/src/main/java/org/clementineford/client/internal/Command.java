package org.clementineford.client.internal;

import java.util.ArrayList;
import java.util.List;
import org.clementineford.client.EntryConnection;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;
import org.clementineford.kernel.settings.Settings;

/**
 * A command of the command line.
 *
 * @param name command words, separated by spaces
 * @param summary one sentence for the help text
 * @param settings flags
 * @param arguments names of the arguments, for the help text
 * @param handler code of the command
 */
record Command(
    String name,
    String summary,
    List<Setting<?>> settings,
    List<String> arguments,
    Handler handler) {
  private static final Setting<List<HostPort>> ENTRY =
      new Setting<>(
          "entry",
          "Admin addresses of entry VMs, HOST:PORT separated by commas.",
          null,
          SettingParser.hostPorts());

  /** Code of a command. */
  @FunctionalInterface
  interface Handler {
    /**
     * Runs the command.
     *
     * @param settings validated flags
     * @return text for standard output, without the final line break
     */
    String run(Settings settings) throws ClementinefordException;
  }

  /** Code of a command that calls entry VMs. */
  @FunctionalInterface
  interface EntryVmHandler {
    /**
     * Runs the command.
     *
     * @param connection connection to entry VMs
     * @param settings validated flags
     * @return text for standard output, without the final line break
     */
    String run(EntryConnection connection, Settings settings) throws ClementinefordException;
  }

  /**
   * Returns a command that calls entry VMs.
   *
   * @param name command words, separated by spaces
   * @param summary one sentence for the help text
   * @param settings flags in addition to {@code --entry}
   * @param arguments names of the arguments, for the help text
   * @param body code of the command
   * @return the command
   */
  static Command onEntryVms(
      String name,
      String summary,
      List<Setting<?>> settings,
      List<String> arguments,
      EntryVmHandler body) {
    List<Setting<?>> all = new ArrayList<>(List.of(ENTRY));
    all.addAll(settings);
    return new Command(
        name,
        summary,
        List.copyOf(all),
        arguments,
        given -> {
          try (EntryConnection connection = new EntryConnection(given.get(ENTRY))) {
            return body.run(connection, given);
          }
        });
  }
}
