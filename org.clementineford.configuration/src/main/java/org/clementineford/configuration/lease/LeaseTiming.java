package org.clementineford.configuration.lease;

import java.util.concurrent.TimeUnit;

/**
 * Durations of a lease, in nanoseconds.
 *
 * @param lengthNanos time without a renewal after which another candidate may take over the lease
 * @param renewalNanos age of the lease at which the holder renews it
 * @param marginNanos safety margin: how long before the end of the length the holder stops using
 *     the lease
 */
public record LeaseTiming(long lengthNanos, long renewalNanos, long marginNanos) {
  /** Production values: length 10 s, renewal every 3 s, margin 2 s. */
  public static final LeaseTiming DEFAULT =
      new LeaseTiming(
          TimeUnit.SECONDS.toNanos(10), TimeUnit.SECONDS.toNanos(3), TimeUnit.SECONDS.toNanos(2));
}
