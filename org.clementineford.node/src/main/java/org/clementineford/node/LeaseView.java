package org.clementineford.node;

import java.util.OptionalLong;

/** The lease of the rollout controller of this data centre, as this process sees it. */
public interface LeaseView {
  /**
   * Returns the fencing number if this process holds the lease right now by its own monotonic
   * clock. Must be called right before each order.
   *
   * @return the fencing number, or empty if another process may hold the lease
   */
  OptionalLong fencingNumber();
}
