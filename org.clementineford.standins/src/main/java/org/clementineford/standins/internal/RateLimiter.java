package org.clementineford.standins.internal;

import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;

/**
 * Rate limiter that several users share. Each reservation advances the time at which the next one
 * is due, so the average rate is kept even if timers run late.
 */
public final class RateLimiter {
  /** Unused capacity that may be used later; covers the timer resolution of 1 ms. */
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
   * @param units number of units
   * @return time to wait before using them, in nanoseconds; 0 or less for none
   */
  public synchronized long reserve(long units) {
    long now = clock.nanoTime();
    dueNanos = Math.max(dueNanos, now - BURST_NANOS);
    long wait = dueNanos - now;
    dueNanos += (long) (units * nanosPerUnit);
    return wait;
  }

  /**
   * Takes one unit if the rate allows it now, with a burst of up to one second of units.
   *
   * @return false if the rate limit is reached
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
