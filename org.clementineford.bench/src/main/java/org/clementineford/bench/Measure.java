package org.clementineford.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Arrays;
import java.util.Map;
import org.apache.commons.cli.help.HelpFormatter;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.plugins.PlugInRegistry;
import org.clementineford.kernel.settings.Settings;

/** Runs one measurement and prints its figures as one JSON line at the end. */
public final class Measure {
  private Measure() {}

  /**
   * Runs {@code bin/measure NAME [options]}.
   *
   * @param arguments name of the measurement and its options
   * @throws Exception if the measurement cannot be carried out
   */
  public static void main(String[] arguments) throws Exception {
    try {
      run(arguments);
      System.exit(0);
    } catch (ClementinefordException e) {
      System.err.println(e.getMessage());
      System.exit(e.kind().exitCode());
    }
  }

  private static void run(String[] arguments) throws Exception {
    PlugInRegistry<Measurement> measurements = PlugInRegistry.load(Measurement.class);
    Measurement measurement = measurements.get(arguments.length == 0 ? "" : arguments[0]);
    Settings settings =
        Settings.read(
            measurement.settings(),
            Arrays.copyOfRange(arguments, 1, arguments.length),
            System.getenv());
    if (settings.isHelpRequested()) {
      HelpFormatter.builder()
          .setShowSince(false)
          .get()
          .printHelp(
              "measure " + measurement.name(),
              "",
              Settings.options(measurement.settings()),
              "",
              true);
      return;
    }
    Map<String, Object> figures = measurement.run(settings);
    if (figures.isEmpty()) {
      throw new ClementinefordException(
          ErrorKind.INTERNAL, "measurement " + measurement.name() + " has no figures");
    }
    System.out.println(new ObjectMapper().writeValueAsString(figures));
  }
}
