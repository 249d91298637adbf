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
 * @param source what it works on
 * @param settings flags besides those of the source
 * @param arguments names of the arguments, for the help text
 * @param body what it does
 */
record Operation(
    String name,
    String summary,
    Source source,
    List<Setting<?>> settings,
    List<String> arguments,
    Body body) {
  /** What a command works on. */
  enum Source {
    /** Entry VMs that run. */
    ENTRY_VMS(List.of(Main.ENTRY)) {
      @Override
      EntryConnection connect(Settings settings) {
        return new EntryConnection(settings.get(Main.ENTRY));
      }
    },
    /** Files on this computer. */
    FILES(List.of()) {
      @Override
      EntryConnection connect(Settings settings) {
        return new EntryConnection(List.of());
      }
    };

    private final List<Setting<?>> settings;

    Source(List<Setting<?>> settings) {
      this.settings = settings;
    }

    List<Setting<?>> settings() {
      return settings;
    }

    abstract EntryConnection connect(Settings settings);
  }

  /** Creates a command that works on entry VMs. */
  Operation(
      String name, String summary, List<Setting<?>> settings, List<String> arguments, Body body) {
    this(name, summary, Source.ENTRY_VMS, settings, arguments, body);
  }

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
