package org.clementineford.configuration.membership;

import java.util.concurrent.TimeUnit;

/**
 * Times of the failure detection, in nanoseconds.
 *
 * @param tickNanos time between ticks; each tick probes one member
 * @param suspicionNanos time that a suspect has to refute before it counts as dead
 * @param retentionNanos time for which a dead member is remembered, so that late statements do not
 *     bring it back
 */
public record MembershipTiming(long tickNanos, long suspicionNanos, long retentionNanos) {
  /** Times of the product. */
  public static final MembershipTiming DEFAULT =
      new MembershipTiming(
          TimeUnit.SECONDS.toNanos(1), TimeUnit.SECONDS.toNanos(5), TimeUnit.MINUTES.toNanos(10));

  long confirmationNanos() {
    return 2 * tickNanos;
  }

  long longestTickNanos() {
    return 3 * tickNanos;
  }
}
