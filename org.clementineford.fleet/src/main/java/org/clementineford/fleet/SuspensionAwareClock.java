package org.clementineford.fleet;

import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;

/**
 * Monotonic clock that includes the time for which the VM was suspended, to measure the age of
 * copies. The system's monotonic clock does not count a suspension, so this clock also advances
 * when the wall clock runs ahead of the monotonic one. A forward step of the wall clock therefore
 * makes existing copies look older than they are, which is the safe direction.
 */
public final class SuspensionAwareClock implements NanoClock {
  /**
   * Smallest difference between the clocks that counts as a suspension, in nanoseconds; less is
   * drift.
   */
  private static final long MIN_SUSPENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final NanoClock monotonic;
  private final EpochClock wall;
  private long lastMonotonic;
  private long lastWallNanos;
  private long suspendedNanos;

  /**
   * Creates a clock.
   *
   * @param monotonic monotonic clock, which stops during a suspension
   * @param wall wall clock, in milliseconds since the epoch
   */
  public SuspensionAwareClock(NanoClock monotonic, EpochClock wall) {
    this.monotonic = monotonic;
    this.wall = wall;
    this.lastMonotonic = monotonic.nanoTime();
    this.lastWallNanos = TimeUnit.MILLISECONDS.toNanos(wall.time());
  }

  @Override
  public synchronized long nanoTime() {
    long now = monotonic.nanoTime();
    long wallNanos = TimeUnit.MILLISECONDS.toNanos(wall.time());
    long ahead = (wallNanos - lastWallNanos) - (now - lastMonotonic);
    if (ahead > MIN_SUSPENSION_NANOS) {
      suspendedNanos += ahead;
    }
    lastMonotonic = now;
    lastWallNanos = wallNanos;
    return now + suspendedNanos;
  }
}
