package org.clementineford.standins;

import java.util.List;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.plugins.PlugIn;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.Settings;

/** A kind of stand-in that {@link StandIn} can start; found by {@link java.util.ServiceLoader}. */
public interface StandInKind extends PlugIn {
  /**
   * Returns the settings of this kind, in addition to the address, the seed and the threads.
   *
   * @return the settings
   */
  List<Setting<?>> settings();

  /**
   * Creates a stand-in that does not listen yet.
   *
   * @param context address, time and seed of the stand-in
   * @param settings validated values of the settings
   * @return the stand-in
   * @throws ClementinefordException if a value is malformed
   */
  HttpStandIn create(StandInContext context, Settings settings) throws ClementinefordException;
}
