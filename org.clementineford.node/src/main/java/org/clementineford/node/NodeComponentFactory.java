package org.clementineford.node;

import java.util.List;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.plugins.PlugIn;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.Settings;

/** Makes a component; registered with {@link java.util.ServiceLoader}. */
public interface NodeComponentFactory extends PlugIn {
  /**
   * Returns the role of the processes that have the component.
   *
   * @return the role
   */
  VmRole role();

  /**
   * Returns the position in the order in which components start; they drain in the reverse order.
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
   * Makes the component.
   *
   * @param context what the components share
   * @param settings checked values
   * @return the component, not yet started
   * @throws ClementinefordException if settings do not fit together
   */
  NodeComponent create(NodeContext context, Settings settings) throws ClementinefordException;
}
