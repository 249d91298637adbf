package org.clementineford.serving.routing;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Limits the retries of requests to one service in a sliding time window. All entry VMs together
 * may retry a ratio of their requests plus a fixed number. Each entry VM uses its share without
 * coordination: the ratio of its own requests, and the fixed number divided by the number of entry
 * VMs that there may be.
 */
public final class SharedRetryBudget {
  /**
   * Fraction of the configured limit to use, since requests near the end of a window may be counted
   * in the next one.
   */
  private static final double USED_FRACTION = 0.8;

  private static final int SLICES = 10;

  private final double ratio;
  private final double fixed;
  private final IntSupplier entryVms;
  private final long sliceNanos;
  private final long[] requests = new long[SLICES];
  private final long[] retries = new long[SLICES];
  private long slice;

  /**
   * Creates a budget that has counted no requests.
   *
   * @param ratio retries allowed for each request
   * @param fixed retries allowed in a window for all entry VMs together, in addition to the ratio
   * @param windowSeconds length of the window in seconds
   * @param entryVms number of entry VMs that share the budget
   */
  public SharedRetryBudget(double ratio, double fixed, double windowSeconds, IntSupplier entryVms) {
    this.ratio = ratio * USED_FRACTION;
    this.fixed = fixed * USED_FRACTION;
    this.entryVms = entryVms;
    this.sliceNanos = (long) (windowSeconds * TimeUnit.SECONDS.toNanos(1) / SLICES);
  }

  /**
   * Counts the first send of a request.
   *
   * @param now monotonic time in nanoseconds
   */
  public void countRequest(long now) {
    advance(now);
    requests[sliceIndex()]++;
  }

  /**
   * Takes one retry from the budget.
   *
   * @param now monotonic time in nanoseconds
   * @return false if the budget is used up
   */
  public boolean tryRetry(long now) {
    boolean allowed = mayRetry(now);
    if (allowed) {
      retries[sliceIndex()]++;
    }
    return allowed;
  }

  /**
   * Returns whether a retry could be taken from the budget, without taking it.
   *
   * @param now monotonic time in nanoseconds
   * @return false if the budget is used up
   */
  public boolean mayRetry(long now) {
    advance(now);
    long totalRequests = 0;
    long totalRetries = 0;
    for (int i = 0; i < SLICES; i++) {
      totalRequests += requests[i];
      totalRetries += retries[i];
    }
    return totalRetries + 1 <= ratio * totalRequests + fixed / entryVms.getAsInt();
  }

  private int sliceIndex() {
    return (int) Math.floorMod(slice, (long) SLICES);
  }

  private void advance(long now) {
    long current = Math.floorDiv(now, sliceNanos);
    if (current - slice >= SLICES || current < slice) {
      Arrays.fill(requests, 0);
      Arrays.fill(retries, 0);
      slice = current;
    }
    while (slice < current) {
      slice++;
      requests[sliceIndex()] = 0;
      retries[sliceIndex()] = 0;
    }
  }
}
