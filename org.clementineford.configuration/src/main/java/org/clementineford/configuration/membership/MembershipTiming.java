package org.clementineford.configuration.membership;

import java.util.concurrent.TimeUnit;

/**
 * Durations of failure detection, in nanoseconds.
 *
 * @param tickNanos time between ticks; each tick probes one member
 * @param suspicionNanos time that a suspect has to refute the suspicion before it is declared dead
 * @param retentionNanos time for which a dead member stays in the table, so that late statements do
 *     not add it again as alive
 */
public record MembershipTiming(long tickNanos, long suspicionNanos, long retentionNanos) {
  /** Production values: tick 1 s, suspicion 5 s, retention 10 min. */
  public static final MembershipTiming DEFAULT =
      new MembershipTiming(
          TimeUnit.SECONDS.toNanos(1), TimeUnit.SECONDS.toNanos(5), TimeUnit.MINUTES.toNanos(10));

  long confirmationNanos() {
    return 2 * tickNanos;
  }

  long maxTickNanos() {
    return 3 * tickNanos;
  }
}
