package org.clementineford.client.internal;

import java.util.List;
import org.clementineford.client.EntryConnection;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.Settings;

/**
 * A command of the command line.
 *
 * @param name words of the command
 * @param summary one sentence for the help text
 * @param settings flags besides {@code --entry}
 * @param arguments names of the arguments, for the help text
 * @param body what it does
 */
record Operation(
    String name, String summary, List<Setting<?>> settings, List<String> arguments, Body body) {
  /** What a command does. */
  @FunctionalInterface
  interface Body {
    /**
     * Runs the command.
     *
     * @param connection connection to entry VMs
     * @param settings checked flags
     * @return text for standard output, without the last line end
     */
    String run(EntryConnection connection, Settings settings) throws ClementinefordException;
  }
}
