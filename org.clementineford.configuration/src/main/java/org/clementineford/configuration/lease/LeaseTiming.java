package org.clementineford.configuration.lease;

import java.util.concurrent.TimeUnit;

/**
 * Times of a lease, in nanoseconds.
 *
 * @param lengthNanos a lease that was not renewed for this long may be taken over
 * @param renewalNanos age at which the holder renews
 * @param marginNanos the holder stops this much before the length has passed
 */
public record LeaseTiming(long lengthNanos, long renewalNanos, long marginNanos) {
  /** Times of the product: 10 s, renewed every 3 s, margin 2 s. */
  public static final LeaseTiming DEFAULT =
      new LeaseTiming(
          TimeUnit.SECONDS.toNanos(10), TimeUnit.SECONDS.toNanos(3), TimeUnit.SECONDS.toNanos(2));
}
