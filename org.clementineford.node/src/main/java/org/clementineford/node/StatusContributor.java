package org.clementineford.node;

import java.util.List;
import org.clementineford.wire.ModelStatus;

/** Tells which models this process serves; offered by a component through SharedServices. */
@FunctionalInterface
public interface StatusContributor {
  /**
   * Returns the state of each model on this VM.
   *
   * @return one entry for each model that is served or in transfer
   */
  List<ModelStatus> modelStatuses();
}
