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
 * @param name words of the command
 * @param summary one sentence for the help text
 * @param settings flags
 * @param arguments names of the arguments, for the help text
 * @param body what it does
 */
record Operation(
    String name, String summary, List<Setting<?>> settings, List<String> arguments, Body body) {
  private static final Setting<List<HostPort>> ENTRY =
      new Setting<>(
          "entry",
          "Admin addresses of entry VMs, HOST:PORT separated by commas.",
          null,
          SettingParser.hostPorts());

  /** What a command does. */
  @FunctionalInterface
  interface Body {
    /**
     * Runs the command.
     *
     * @param settings checked flags
     * @return text for standard output, without the last line end
     */
    String run(Settings settings) throws ClementinefordException;
  }

  /** What a command does that asks entry VMs. */
  @FunctionalInterface
  interface EntryBody {
    /**
     * Runs the command.
     *
     * @param connection connection to entry VMs
     * @param settings checked flags
     * @return text for standard output, without the last line end
     */
    String run(EntryConnection connection, Settings settings) throws ClementinefordException;
  }

  /**
   * Returns a command that asks entry VMs.
   *
   * @param name words of the command
   * @param summary one sentence for the help text
   * @param settings flags besides {@code --entry}
   * @param arguments names of the arguments, for the help text
   * @param body what it does
   * @return the command
   */
  static Operation onEntryVms(
      String name,
      String summary,
      List<Setting<?>> settings,
      List<String> arguments,
      EntryBody body) {
    List<Setting<?>> all = new ArrayList<>(List.of(ENTRY));
    all.addAll(settings);
    return new Operation(
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
