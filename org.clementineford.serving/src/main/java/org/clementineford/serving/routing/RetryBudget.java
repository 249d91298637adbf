package org.clementineford.serving.routing;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Limits the sends beyond the first of each request to one service. All entry VMs together have a
 * ratio of their requests and a fixed amount in each window. Each takes its part without asking the
 * others: the ratio of its own requests, and an even part of the fixed amount for as many entry VMs
 * as there may be.
 */
public final class RetryBudget {
  /** Part of the stated bound that is used; requests near the end of a window count in the next. */
  private static final double USED_PART = 0.8;

  private static final int SLICES = 10;

  private final double ratio;
  private final double fixed;
  private final IntSupplier entryVms;
  private final long sliceNanos;
  private final long[] requests = new long[SLICES];
  private final long[] repeats = new long[SLICES];
  private long slice;

  /**
   * Creates a budget without any request.
   *
   * @param ratio repeated sends allowed for each request
   * @param fixed repeated sends allowed in a window by all entry VMs together
   * @param windowSeconds length of the window
   * @param entryVms number of entry VMs that share the budget
   */
  public RetryBudget(double ratio, double fixed, double windowSeconds, IntSupplier entryVms) {
    this.ratio = ratio * USED_PART;
    this.fixed = fixed * USED_PART;
    this.entryVms = entryVms;
    this.sliceNanos = (long) (windowSeconds * TimeUnit.SECONDS.toNanos(1) / SLICES);
  }

  /**
   * Counts a request.
   *
   * @param now monotonic time in nanoseconds
   */
  public void request(long now) {
    advance(now);
    requests[index()]++;
  }

  /**
   * Takes one repeated send out of the budget.
   *
   * @param now monotonic time in nanoseconds
   * @return false if the budget is used up
   */
  public boolean tryRepeat(long now) {
    advance(now);
    long sumOfRequests = 0;
    long sumOfRepeats = 0;
    for (int i = 0; i < SLICES; i++) {
      sumOfRequests += requests[i];
      sumOfRepeats += repeats[i];
    }
    if (sumOfRepeats + 1 > ratio * sumOfRequests + fixed / entryVms.getAsInt()) {
      return false;
    }
    repeats[index()]++;
    return true;
  }

  private int index() {
    return (int) Math.floorMod(slice, (long) SLICES);
  }

  private void advance(long now) {
    long current = Math.floorDiv(now, sliceNanos);
    if (current - slice >= SLICES || current < slice) {
      Arrays.fill(requests, 0);
      Arrays.fill(repeats, 0);
      slice = current;
    }
    while (slice < current) {
      slice++;
      requests[index()] = 0;
      repeats[index()] = 0;
    }
  }
}
