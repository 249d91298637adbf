package org.clementineford.entry.internal.rollout;

import java.util.List;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.Settings;
import org.clementineford.node.NodeComponent;
import org.clementineford.node.NodeComponentFactory;
import org.clementineford.node.NodeContext;

/** Creates the rollout controller of an entry VM. */
public final class RolloutControllerFactory implements NodeComponentFactory {
  @Override
  public String name() {
    return "rollout-controller";
  }

  @Override
  public VmRole role() {
    return VmRole.ENTRY;
  }

  @Override
  public int order() {
    return 30;
  }

  @Override
  public List<Setting<?>> settings() {
    return List.of();
  }

  @Override
  public NodeComponent create(NodeContext context, Settings settings) {
    return new RolloutController(context);
  }
}
