package org.clementineford.requests.admission;

import java.util.concurrent.TimeUnit;

/**
 * Times and sizes of a run registry.
 *
 * @param longestDispatchAgeMs a dispatch with an older admission tick is refused, in milliseconds
 * @param revocationMs how long revocations are kept at least, in milliseconds
 * @param idempotentMs how long ended idempotent attempts are kept at least, in milliseconds; more
 *     than the longest age of a dispatch
 * @param attempts largest number of attempts that are remembered
 * @param answerBytes largest sum of the lengths of stored answers, in bytes
 * @param shards number of parts of the state, each with its own lock
 */
public record RunRegistryLimits(
    long longestDispatchAgeMs,
    long revocationMs,
    long idempotentMs,
    int attempts,
    long answerBytes,
    int shards) {
  /**
   * The first two values are fixed by the design page. 400,000 attempts are more than a minute of
   * 3,400 requests/s; 390,000 without keys were measured to need 67 MB of heap. Stored answers get
   * 32 MB.
   */
  public static final RunRegistryLimits DEFAULT =
      new RunRegistryLimits(10_000, 60_000, 15_000, 400_000, 32L << 20, 16);

  long nanos(long milliseconds) {
    return TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }
}
