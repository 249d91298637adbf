package org.clementineford.standins.kinds;

import java.util.List;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;
import org.clementineford.kernel.settings.Settings;
import org.clementineford.standins.HttpStandIn;
import org.clementineford.standins.ObjectApiStandIn;
import org.clementineford.standins.StandInContext;
import org.clementineford.standins.StandInKind;
import org.clementineford.standins.VmListStandIn;

/** Runs the object API stand-in as a process, with a list of VMs at the same address. */
public final class ObjectApiKind implements StandInKind {
  private static final Setting<Long> CALLS_PER_SECOND =
      new Setting<>(
          "calls-per-second",
          "Largest rate of calls; 0 for no limit.",
          "0",
          SettingParser.wholeNumber(0, 1_000_000));
  private static final Setting<Long> VM_LIST_LAG_MS =
      new Setting<>(
          "vm-list-lag-ms",
          "Time until a replaced list of VMs is visible, in milliseconds.",
          "2000",
          SettingParser.wholeNumber(0, 600_000));

  @Override
  public String name() {
    return "object-api";
  }

  @Override
  public List<Setting<?>> settings() {
    return List.of(CALLS_PER_SECOND, VM_LIST_LAG_MS);
  }

  @Override
  public HttpStandIn create(StandInContext context, Settings settings) {
    return new ObjectApiStandIn(
        context,
        settings.get(CALLS_PER_SECOND),
        new VmListStandIn(context, settings.get(VM_LIST_LAG_MS)));
  }
}
