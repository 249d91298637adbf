package org.clementineford.bench;

import java.util.List;
import java.util.Map;
import org.clementineford.kernel.plugins.PlugIn;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.Settings;

/** A measurement that {@code bin/measure} runs by name; registered with ServiceLoader. */
public interface Measurement extends PlugIn {
  /**
   * Returns the options of the measurement.
   *
   * @return the options
   */
  List<Setting<?>> settings();

  /**
   * Runs the measurement.
   *
   * @param settings checked options
   * @return figures by name, with the unit in the name; printed as one JSON line
   * @throws Exception if the measurement cannot be carried out
   */
  Map<String, Object> run(Settings settings) throws Exception;
}
