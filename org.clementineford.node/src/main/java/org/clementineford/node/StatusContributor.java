package org.clementineford.node;

import java.util.List;
import org.clementineford.wire.ModelStatus;

/** Reports on the models of this process; offered through {@link SharedServices}. */
@FunctionalInterface
public interface StatusContributor {
  /**
   * Returns what is known about each model.
   *
   * @return one entry for each model, in the order of their names; may be called from any thread
   */
  List<ModelStatus> modelStatus();
}
