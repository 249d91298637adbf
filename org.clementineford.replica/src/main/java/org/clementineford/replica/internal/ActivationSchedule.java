package org.clementineford.replica.internal;

import java.util.concurrent.TimeUnit;

/**
 * Decides when an engine switches to new weights. Engines take turns within the time limit for a
 * target version, so that most engines of a service keep answering while all of them switch. After
 * the time limit no request may begin on an older version.
 */
final class ActivationSchedule {
  /**
   * Fraction of the time limit before which no engine switches. Engines begin to drain before their
   * transfers end, so that they do not all drain at once afterwards.
   */
  private static final double FIRST_START_FRACTION = 0.42;

  /** Fraction of the time limit at which the last engine begins to switch. */
  private static final double LAST_START_FRACTION = 0.8;

  /** Progress of a transfer below which abandoning it for the next version loses little. */
  private static final double MIN_PROGRESS_TO_COMPLETE = 0.3;

  /** Time that an engine takes to finish its requests, about the duration of a stream. */
  private static final long DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Progress of a transfer below which its end cannot be predicted. */
  private static final double MIN_PREDICTABLE_PROGRESS = 0.5;

  /** Time, including loading, that a version must be able to serve to be worth its transfer. */
  private static final long MIN_SERVING_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  private final long timeLimitNanos;

  ActivationSchedule(long timeLimitMs) {
    this.timeLimitNanos = TimeUnit.MILLISECONDS.toNanos(timeLimitMs);
  }

  /**
   * Returns whether a transfer should be completed although a newer version is the target. If all
   * engines dropped it, none would have a version that is allowed to answer until the newer one is
   * transferred. A transfer that ends shortly before the newer version is required only delays it.
   *
   * @param progress fraction of the chunks that are held
   * @param elapsedNanos time since the transfer began
   * @param nextNamedAt when the newer version became the target, in monotonic nanoseconds
   * @param now current time, in monotonic nanoseconds
   * @return true if the older version can serve long enough
   */
  boolean isWorthCompleting(double progress, long elapsedNanos, long nextNamedAt, long now) {
    if (progress < MIN_PROGRESS_TO_COMPLETE) {
      return false;
    }
    return now + remainingNanos(progress, elapsedNanos) + MIN_SERVING_NANOS
        < nextNamedAt + timeLimitNanos;
  }

  private static double remainingNanos(double progress, long elapsedNanos) {
    return elapsedNanos * (1 - progress) / progress;
  }

  /**
   * Returns whether a transfer is expected to end within the time that an engine needs to drain.
   *
   * @param progress fraction of the chunks that are held
   * @param elapsedNanos time since the transfer began
   * @return true if the engine may stop taking requests
   */
  boolean endsSoon(double progress, long elapsedNanos) {
    return progress >= MIN_PREDICTABLE_PROGRESS
        && remainingNanos(progress, elapsedNanos) <= DRAIN_NANOS;
  }

  /** Returns the time limit for switching to a target version, in nanoseconds. */
  long timeLimitNanos() {
    return timeLimitNanos;
  }

  /**
   * Returns the earliest time at which an engine may begin to switch.
   *
   * @param namedAt when this VM learned of the version, in monotonic nanoseconds
   * @param rank rank of this engine among those of the service, from 0
   * @param engines number of engines of the service
   * @param serving true if the engine has weights that are still allowed to answer
   * @return time in monotonic nanoseconds
   */
  long beginAt(long namedAt, int rank, int engines, boolean serving) {
    if (!serving) {
      return namedAt;
    }
    double turn = engines <= 1 ? 0 : (double) rank / (engines - 1);
    double fraction = FIRST_START_FRACTION + (LAST_START_FRACTION - FIRST_START_FRACTION) * turn;
    return namedAt + (long) (fraction * timeLimitNanos);
  }
}
