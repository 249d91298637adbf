package org.clementineford.replica.internal;

import java.util.concurrent.TimeUnit;
import org.clementineford.serving.routing.MinimumWeightVersion;

/**
 * Decides when an engine switches to new weights. Engines take turns within the time limit for a
 * target version, so that most engines of a service keep answering while all of them switch. After
 * the time limit no request may begin on an older version.
 */
final class ActivationSchedule {
  /**
   * Fraction of the time limit at which the last engine begins to switch. Shortly after it, entry
   * VMs send no requests to engines with an older version.
   */
  private static final double LAST_START_FRACTION = 0.85;

  /** Progress of a transfer below which abandoning it for the next version loses little. */
  private static final double MIN_PROGRESS_TO_COMPLETE = 0.3;

  /** Time that an engine takes to finish its requests, about the duration of a stream. */
  private static final long DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Progress of a transfer below which its end cannot be predicted. */
  private static final double MIN_PREDICTABLE_PROGRESS = 0.5;

  /** Time, including loading, that a version must be able to serve to be worth its transfer. */
  private static final long MIN_SERVING_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  /** Time for which an engine that serves answers no new requests while it switches. */
  private static final long SWITCH_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);

  /** The same for an engine that has no requests left. */
  private static final long LOAD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /**
   * Value of the time for which an engine answers with the version before, against that of the time
   * after, in which fewer engines have a version that is allowed.
   */
  private static final double EARLIER_TIME_VALUE = 0.75;

  /** Progress of a transfer from which its end is predicted from its own speed. */
  private static final double MIN_OWN_SPEED_PROGRESS = 0.25;

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

  private static long remainingNanos(double progress, long elapsedNanos) {
    return (long) (elapsedNanos * (1 - progress) / progress);
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
   * Returns the earliest time at which an engine may begin to switch. Turns are spread from the
   * time at which the transfers are about to end, so that engines do not all wait for their weights
   * and then switch at once.
   *
   * @param namedAt when this VM learned of the version, in monotonic nanoseconds
   * @param transferEndsAt when the transfer ended or is expected to end; those of all engines end
   *     at about the same time
   * @param turn place of this engine among those of the service, from 0 inclusive to 1 exclusive
   * @param serving true if the engine has weights that are still allowed to answer
   * @return time in monotonic nanoseconds
   */
  long beginAt(long namedAt, long transferEndsAt, double turn, boolean serving) {
    if (!serving) {
      return namedAt;
    }
    long last = (long) (LAST_START_FRACTION * timeLimitNanos);
    long first = Math.max(0, Math.min(last, transferEndsAt - DRAIN_NANOS - namedAt));
    return namedAt + first + (long) (turn * (last - first));
  }

  /**
   * Returns when a transfer is expected to end.
   *
   * @param progress fraction of the chunks that are held
   * @param elapsedNanos time since the transfer began
   * @param usualNanos duration of the transfer before it
   * @param now current time, in monotonic nanoseconds
   * @return time in monotonic nanoseconds
   */
  long expectedEnd(double progress, long elapsedNanos, long usualNanos, long now) {
    if (progress < MIN_OWN_SPEED_PROGRESS && elapsedNanos < usualNanos) {
      return now + usualNanos - elapsedNanos;
    }
    return now + (progress > 0 ? remainingNanos(progress, elapsedNanos) : timeLimitNanos);
  }

  /**
   * Returns whether an engine should switch to a version that was superseded. It then answers with
   * that version until it switches to the next one; if not, it answers with the one before for as
   * long as that is allowed.
   *
   * @param namedAt when the version was named, in monotonic nanoseconds
   * @param nextBeginsAt when the engine begins to switch to the next version
   * @param idle true if the engine has no requests
   * @param now current time, in monotonic nanoseconds
   * @return true if more is answered in all
   */
  boolean isWorthSwitching(long namedAt, long nextBeginsAt, boolean idle, long now) {
    long answered = nextBeginsAt - now - (idle ? LOAD_NANOS : SWITCH_NANOS);
    return answered > EARLIER_TIME_VALUE * Math.max(0, requiredAt(namedAt) - now);
  }

  /**
   * Returns when a version is required, so that no request begins on an older one.
   *
   * @param namedAt when the version was named, in monotonic nanoseconds
   * @return time in monotonic nanoseconds
   */
  long requiredAt(long namedAt) {
    return namedAt + (long) (MinimumWeightVersion.REQUIRED_FRACTION * timeLimitNanos);
  }
}
