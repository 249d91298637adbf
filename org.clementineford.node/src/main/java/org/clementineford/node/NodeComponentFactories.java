package org.clementineford.node;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.ServiceLoader;
import java.util.Set;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.settings.Setting;

/** Loads the component factories registered with {@link ServiceLoader}. */
public final class NodeComponentFactories {
  private NodeComponentFactories() {}

  /**
   * Returns the factories of a role.
   *
   * @param role the role
   * @return the factories in the order in which their components start
   */
  public static List<NodeComponentFactory> of(VmRole role) {
    ClassLoader loader = NodeComponentFactory.class.getClassLoader();
    return ServiceLoader.load(NodeComponentFactory.class, loader).stream()
        .map(ServiceLoader.Provider::get)
        .filter(factory -> factory.role() == role)
        .sorted(
            Comparator.comparingInt(NodeComponentFactory::order)
                .thenComparing(NodeComponentFactory::name))
        .toList();
  }

  /**
   * Returns the settings of a daemon: those of the node and of its components.
   *
   * @param role the role
   * @return each setting once, even if several components read it
   */
  public static List<Setting<?>> settings(VmRole role) {
    Set<Setting<?>> settings = new LinkedHashSet<>(NodeSettings.declared());
    of(role).forEach(factory -> settings.addAll(factory.settings()));
    return List.copyOf(settings);
  }
}
