package org.clementineford.standins.kinds;

import java.util.List;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.Settings;
import org.clementineford.standins.HttpStandIn;
import org.clementineford.standins.ServiceStandIn;
import org.clementineford.standins.StandInContext;
import org.clementineford.standins.StandInKind;

/** Runs the service stand-in as a process. */
public final class ServiceKind implements StandInKind {
  @Override
  public String name() {
    return "service";
  }

  @Override
  public List<Setting<?>> settings() {
    return List.of();
  }

  @Override
  public HttpStandIn create(StandInContext context, Settings settings) {
    return new ServiceStandIn(context);
  }
}
