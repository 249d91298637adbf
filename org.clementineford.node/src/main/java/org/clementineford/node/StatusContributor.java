package org.clementineford.node;

import java.util.List;
import org.clementineford.wire.ModelStatus;

/** Provides the state of the models on this VM; registered in {@link SharedServices}. */
@FunctionalInterface
public interface StatusContributor {
  /**
   * Returns the state of each model on this VM.
   *
   * @return one entry for each model that is served or in transfer
   */
  List<ModelStatus> modelStatuses();
}
