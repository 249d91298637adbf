package org.clementineford.node;

import java.util.OptionalLong;

/** The lease of the rollout controller of this data centre, as seen by this process. */
public interface LeaseView {
  /**
   * Returns the fencing number if this process now holds the lease according to its own monotonic
   * clock. Must be called immediately before each order.
   *
   * @return the fencing number, or empty if another process may hold the lease
   */
  OptionalLong fencingNumber();
}
