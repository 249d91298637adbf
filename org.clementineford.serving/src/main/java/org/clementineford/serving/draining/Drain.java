package org.clementineford.serving.draining;

import java.util.OptionalLong;

/**
 * The planned stop of a process, from its begin to the end of the process. A request whose answer
 * would outlast the process is refused, so that its caller can go to another process while there is
 * time. Times are monotonic nanoseconds.
 *
 * @param elsewhereAt time from which new connections reach other processes
 * @param endsAt time at which the process ends what is still in progress
 */
public record Drain(long elsewhereAt, long endsAt) {
  /** Factor on the longest recent answer that allows for a longer one. */
  private static final double LONGER_ANSWER_FACTOR = 1.25;

  /**
   * Returns whether the process serves a request that would be sent to an endpoint now. It does if
   * the request ends before the process at the latest. While its caller may reach this process
   * again, an answer that is likely to be complete in time is better than a refusal.
   *
   * @param now the present time
   * @param deadlineAt time at which the request ends in any case
   * @param expectedNanos upper estimate of the time from now to the end of the answer, in
   *     nanoseconds; empty if unknown
   * @return false if the request is to be refused
   */
  public boolean serves(long now, long deadlineAt, OptionalLong expectedNanos) {
    return deadlineAt - endsAt <= 0
        || (now - elsewhereAt < 0 && isExpectedInTime(now, expectedNanos));
  }

  /**
   * Returns whether the process lets another endpoint continue an answer of which the caller has
   * received a part. The alternative is to break it off, so it does if that is likely to be
   * complete in time.
   *
   * @param now the present time
   * @param deadlineAt time at which the request ends in any case
   * @param expectedNanos upper estimate of the time from now to the end of the answer, in
   *     nanoseconds; empty if unknown
   * @return false if the answer is to be broken off
   */
  public boolean continues(long now, long deadlineAt, OptionalLong expectedNanos) {
    return deadlineAt - endsAt <= 0 || isExpectedInTime(now, expectedNanos);
  }

  private boolean isExpectedInTime(long now, OptionalLong expectedNanos) {
    return expectedNanos.isPresent()
        && expectedNanos.getAsLong() * LONGER_ANSWER_FACTOR <= endsAt - now;
  }
}
