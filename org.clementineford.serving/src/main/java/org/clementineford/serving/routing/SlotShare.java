package org.clementineford.serving.routing;

import java.util.function.DoubleSupplier;

/**
 * How many requests an entry VM sends to an engine on the strength of one report. All entry VMs see
 * the same free slot; if each used it, an engine that is nearly full would get several requests for
 * one slot, and all but one would wait inside it. Answers loads at which requests wait.
 */
public final class SlotShare {
  /** Part of the slots that must be free for reports to be no limit. */
  private static final double PLENTY = 0.4;

  /** Entry VMs of which one sends; more than one, as some have nothing to send. */
  private static final double SENDERS = 2;

  private SlotShare() {}

  /**
   * Returns the number of requests to send until the next report.
   *
   * @param free slots that the report shows as free
   * @param slots slots of the engine
   * @param entryVms entry VMs that see the report
   * @param random numbers of at least 0 and below 1; rounds parts of a request
   * @return number of requests; {@link Integer#MAX_VALUE} for no limit
   */
  public static int requests(int free, int slots, int entryVms, DoubleSupplier random) {
    if (free > PLENTY * slots) {
      return Integer.MAX_VALUE;
    }
    double part = Math.max(0, free) * Math.min(1, SENDERS / entryVms);
    return (int) (part + random.getAsDouble());
  }
}
