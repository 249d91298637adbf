package org.clementineford.replica.internal;

import java.util.concurrent.TimeUnit;

/**
 * When an engine leaves its present weights for new ones. Engines take turns within the bound of a
 * named version, so that the service keeps most of its engines while all of them change.
 */
final class ActivationSchedule {
  /**
   * Part of the bound before which no engine changes. Engines end their requests before transfers
   * end, so that not all of them do so at once afterwards.
   */
  private static final double FIRST_PART = 0.42;

  /** Part of the bound at which the last engine begins to change. */
  private static final double LAST_PART = 0.8;

  /** Part of a transfer below which starting the next one loses little. */
  private static final double LEAST_PROGRESS = 0.3;

  /** Time that an engine takes to end its requests, about the length of a stream. */
  private static final long DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Part of a transfer below which its end cannot be predicted. */
  private static final double PREDICTABLE_PROGRESS = 0.5;

  /** Time for which a version must serve, with the time to load it, to be worth its transfer. */
  private static final long USE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  private final long boundNanos;

  ActivationSchedule(long boundMs) {
    this.boundNanos = TimeUnit.MILLISECONDS.toNanos(boundMs);
  }

  /**
   * Tells whether a transfer should be completed although a newer version is named. If all engines
   * dropped it, none would have a version that may answer until the newer one is there; if it ends
   * shortly before the newer version is required, it only delays that one.
   *
   * @param progress part of the chunks that is held
   * @param elapsedNanos time since the transfer began
   * @param nextNamedAt when the newer version was named, monotonic nanoseconds
   * @param now present time
   * @return true if the older version can serve for a while
   */
  boolean isWorthCompleting(double progress, long elapsedNanos, long nextNamedAt, long now) {
    if (progress < LEAST_PROGRESS) {
      return false;
    }
    return now + remainingNanos(progress, elapsedNanos) + USE_NANOS < nextNamedAt + boundNanos;
  }

  private static double remainingNanos(double progress, long elapsedNanos) {
    return elapsedNanos * (1 - progress) / progress;
  }

  /**
   * Tells whether a transfer should end while the engine ends its requests.
   *
   * @param progress part of the chunks that is held
   * @param elapsedNanos time since the transfer began
   * @return true if the engine may stop taking requests
   */
  boolean endsSoon(double progress, long elapsedNanos) {
    return progress >= PREDICTABLE_PROGRESS
        && remainingNanos(progress, elapsedNanos) <= DRAIN_NANOS;
  }

  /** Returns the bound of a named version in nanoseconds. */
  long boundNanos() {
    return boundNanos;
  }

  /**
   * Returns the earliest time to begin.
   *
   * @param namedAt when the version was learnt, monotonic nanoseconds
   * @param rank place of this engine among those of the service, from 0
   * @param engines number of engines of the service
   * @param serving true if the engine has weights that it may still answer from
   * @return monotonic nanoseconds
   */
  long beginAt(long namedAt, int rank, int engines, boolean serving) {
    if (!serving) {
      return namedAt;
    }
    double turn = engines <= 1 ? 0 : (double) rank / (engines - 1);
    double part = FIRST_PART + (LAST_PART - FIRST_PART) * turn;
    return namedAt + (long) (part * boundNanos);
  }
}
