package org.clementineford.node;

import java.util.List;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.plugins.PlugIn;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.Settings;

/** Creates a component; implementations are registered with {@link java.util.ServiceLoader}. */
public interface NodeComponentFactory extends PlugIn {
  /**
   * Returns the role of the processes that run the component.
   *
   * @return the role
   */
  VmRole role();

  /**
   * Returns the start order of the component; components drain in the reverse order.
   *
   * @return lower numbers start first
   */
  int order();

  /**
   * Returns the settings of the component.
   *
   * @return the settings; names are unique in a process
   */
  List<Setting<?>> settings();

  /**
   * Creates the component.
   *
   * @param context objects shared by the components
   * @param settings validated settings
   * @return the component, not yet started
   * @throws ClementinefordException if the settings are inconsistent
   */
  NodeComponent create(NodeContext context, Settings settings) throws ClementinefordException;
}
