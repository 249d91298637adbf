package org.clementineford.standins.kinds;

import java.util.List;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;
import org.clementineford.kernel.settings.Settings;
import org.clementineford.standins.HttpStandIn;
import org.clementineford.standins.StandInContext;
import org.clementineford.standins.StandInKind;
import org.clementineford.standins.VmListStandIn;

/** Runs the stand-in of the list of VMs as a process. */
public final class VmListKind implements StandInKind {
  private static final Setting<Long> LAG_MS =
      new Setting<>(
          "lag-ms",
          "Time until a replaced list is visible, in milliseconds.",
          "2000",
          SettingParser.wholeNumber(0, 600_000));

  @Override
  public String name() {
    return "vm-list";
  }

  @Override
  public List<Setting<?>> settings() {
    return List.of(LAG_MS);
  }

  @Override
  public HttpStandIn create(StandInContext context, Settings settings) {
    return new VmListStandIn(context, settings.get(LAG_MS));
  }
}
