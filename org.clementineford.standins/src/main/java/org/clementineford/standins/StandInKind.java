package org.clementineford.standins;

import java.util.List;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.plugins.PlugIn;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.Settings;

/** A kind of stand-in that {@link StandIn} can start; found by {@link java.util.ServiceLoader}. */
public interface StandInKind extends PlugIn {
  /**
   * Returns the settings beside the address and the seed.
   *
   * @return the settings
   */
  List<Setting<?>> settings();

  /**
   * Makes a stand-in that does not listen yet.
   *
   * @param context what it needs
   * @param settings checked values
   * @return the stand-in
   * @throws ClementinefordException if a value has no valid form
   */
  HttpStandIn create(StandInContext context, Settings settings) throws ClementinefordException;
}
