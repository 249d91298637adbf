package org.clementineford.node;

import java.util.function.Consumer;
import org.clementineford.configuration.ConfigurationSnapshot;

/** The configuration in force in this process. */
public interface ConfigurationView {
  /**
   * Returns the configuration in force.
   *
   * @return the snapshot with the highest revision seen
   */
  ConfigurationSnapshot current();

  /**
   * Registers a listener that is called for each new revision, in increasing order.
   *
   * @param listener called on an event loop; must not block
   */
  void onChange(Consumer<ConfigurationSnapshot> listener);
}
