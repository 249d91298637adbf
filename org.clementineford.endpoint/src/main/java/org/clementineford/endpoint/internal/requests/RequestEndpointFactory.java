package org.clementineford.endpoint.internal.requests;

import java.util.List;
import java.util.Map;
import org.clementineford.endpoint.BackEndSettings;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;
import org.clementineford.kernel.settings.Settings;
import org.clementineford.node.NodeComponent;
import org.clementineford.node.NodeComponentFactory;
import org.clementineford.node.NodeContext;

/** Creates the component that runs requests. */
public final class RequestEndpointFactory implements NodeComponentFactory {
  private static final Setting<Long> SLOTS =
      new Setting<>(
          "back-end-slots",
          "Maximum concurrent requests on a back end that does not report its slots.",
          "64",
          SettingParser.wholeNumber(1, 100_000));

  @Override
  public String name() {
    return "request-endpoint";
  }

  @Override
  public VmRole role() {
    return VmRole.ENDPOINT;
  }

  @Override
  public int order() {
    return 20;
  }

  @Override
  public List<Setting<?>> settings() {
    return List.of(BackEndSettings.ENGINES, BackEndSettings.SERVICES, SLOTS);
  }

  @Override
  public NodeComponent create(NodeContext context, Settings settings) throws SettingException {
    Map<String, List<HostPort>> engines = settings.get(BackEndSettings.ENGINES);
    Map<String, HostPort> services = settings.get(BackEndSettings.SERVICES);
    for (String name : services.keySet()) {
      if (engines.containsKey(name)) {
        throw new SettingException(
            "--engines and --services both name \"" + name + "\"; rename one of them");
      }
    }
    return new RequestEndpoint(context, engines, services, settings.get(SLOTS).intValue());
  }
}
