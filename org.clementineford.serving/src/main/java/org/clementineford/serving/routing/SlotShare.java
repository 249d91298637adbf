package org.clementineford.serving.routing;

import java.util.function.DoubleSupplier;

/**
 * Limits the requests that an entry VM sends to an engine between two load reports. All entry VMs
 * receive the same report of a free slot. If each of them used it, an engine that is nearly full
 * would receive several requests for one slot, and all but one would wait inside the engine. The
 * limit matters at loads at which requests wait.
 */
public final class SlotShare {
  /** Fraction of the slots of an engine; if more of them are free, there is no limit. */
  private static final double UNLIMITED_FREE_FRACTION = 0.4;

  /**
   * Number of entry VMs to which each free slot is offered on average. It is more than one, since
   * some entry VMs have no request to send.
   */
  private static final double OFFERS_PER_SLOT = 2;

  private SlotShare() {}

  /**
   * Returns the number of requests that may be sent until the next load report.
   *
   * @param free number of free slots according to the report
   * @param slots number of slots of the engine
   * @param entryVms number of entry VMs that receive the report
   * @param random source of random numbers in [0, 1), used to round a fractional share
   * @return number of requests; {@link Integer#MAX_VALUE} for no limit
   */
  public static int requestsUntilNextReport(
      int free, int slots, int entryVms, DoubleSupplier random) {
    if (free > UNLIMITED_FREE_FRACTION * slots) {
      return Integer.MAX_VALUE;
    }
    double share = Math.max(0, free) * Math.min(1, OFFERS_PER_SLOT / entryVms);
    return (int) (share + random.getAsDouble());
  }
}
