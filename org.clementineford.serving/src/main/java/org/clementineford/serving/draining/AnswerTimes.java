package org.clementineford.serving.draining;

import java.util.OptionalLong;

/**
 * The longest of the recent answers of a service. Recent are those of the present period and of the
 * one before it. Not thread-safe.
 */
public final class AnswerTimes {
  private static final long NONE = -1;

  private final long periodNanos;
  private long periodStartedAt;
  private long longest = NONE;
  private long longestBefore = NONE;

  /**
   * Creates a record without answers.
   *
   * @param periodNanos length of a period, in nanoseconds
   * @param now monotonic time in nanoseconds
   */
  public AnswerTimes(long periodNanos, long now) {
    this.periodNanos = periodNanos;
    this.periodStartedAt = now;
  }

  /**
   * Records a complete answer.
   *
   * @param nanos time from the send to the end of the answer
   * @param now monotonic time in nanoseconds
   */
  public void record(long nanos, long now) {
    update(now);
    longest = Math.max(longest, nanos);
  }

  /**
   * Returns the time of the longest recent answer.
   *
   * @param now monotonic time in nanoseconds
   * @return nanoseconds; empty if there was no answer
   */
  public OptionalLong longest(long now) {
    update(now);
    long either = Math.max(longest, longestBefore);
    return either == NONE ? OptionalLong.empty() : OptionalLong.of(either);
  }

  private void update(long now) {
    long periods = (now - periodStartedAt) / periodNanos;
    if (periods > 0) {
      longestBefore = periods == 1 ? longest : NONE;
      longest = NONE;
      periodStartedAt += periods * periodNanos;
    }
  }
}
