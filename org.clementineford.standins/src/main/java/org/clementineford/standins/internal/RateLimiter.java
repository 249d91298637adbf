package org.clementineford.standins.internal;

import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;

/**
 * Limits a rate over all users. Each reservation moves the time at which the next one is due, so
 * the rate holds on average however late the timers run.
 */
public final class RateLimiter {
  /** Unused capacity that may be caught up, which covers the resolution of timers of 1 ms. */
  private static final long BURST_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private final NanoClock clock;
  private final double nanosPerUnit;
  private long dueNanos;

  /**
   * Creates a limiter.
   *
   * @param clock monotonic clock
   * @param unitsPerSecond the rate; 0 for no limit
   */
  public RateLimiter(NanoClock clock, long unitsPerSecond) {
    this.clock = clock;
    this.nanosPerUnit = unitsPerSecond == 0 ? 0 : 1e9 / unitsPerSecond;
    this.dueNanos = clock.nanoTime();
  }

  /**
   * Reserves units.
   *
   * @param units how many
   * @return time to wait before they may be used, in nanoseconds; 0 or less for none
   */
  public synchronized long reserve(long units) {
    long now = clock.nanoTime();
    dueNanos = Math.max(dueNanos, now - BURST_NANOS);
    long wait = dueNanos - now;
    dueNanos += (long) (units * nanosPerUnit);
    return wait;
  }

  /**
   * Takes one unit if the rate allows it now, with one second's worth of units as burst.
   *
   * @return false if the rate is used up
   */
  public synchronized boolean tryTake() {
    long now = clock.nanoTime();
    dueNanos = Math.max(dueNanos, now - TimeUnit.SECONDS.toNanos(1));
    if (nanosPerUnit > 0 && dueNanos + nanosPerUnit > now) {
      return false;
    }
    dueNanos += (long) nanosPerUnit;
    return true;
  }
}
