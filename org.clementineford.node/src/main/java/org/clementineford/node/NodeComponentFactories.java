package org.clementineford.node;

import java.util.Comparator;
import java.util.List;
import java.util.ServiceLoader;
import org.clementineford.kernel.VmRole;

/** Finds the factories that are registered with {@link ServiceLoader}. */
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
}
