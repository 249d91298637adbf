package org.clementineford.fleet;

import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;

/**
 * Clock for the age of knowledge. The monotonic clock does not count the time for which a VM was
 * suspended, so this clock also advances when the wall clock runs ahead of the monotonic one. A
 * step of the wall clock makes knowledge look older than it is for a moment, which is the safe
 * side.
 */
public final class TrustClock implements NanoClock {
  /** Difference of the clocks that is not drift, in nanoseconds. */
  private static final long SUSPENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final NanoClock monotonic;
  private final EpochClock wall;
  private long lastMonotonic;
  private long lastWallNanos;
  private long suspendedNanos;

  /**
   * Creates a clock.
   *
   * @param monotonic monotonic clock
   * @param wall time of day in milliseconds
   */
  public TrustClock(NanoClock monotonic, EpochClock wall) {
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
    if (ahead > SUSPENSION_NANOS) {
      suspendedNanos += ahead;
    }
    lastMonotonic = now;
    lastWallNanos = wallNanos;
    return now + suspendedNanos;
  }
}
