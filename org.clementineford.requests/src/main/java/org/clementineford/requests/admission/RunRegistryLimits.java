package org.clementineford.requests.admission;

import java.util.concurrent.TimeUnit;

/**
 * Retention times and sizes of a run registry.
 *
 * @param maxDispatchAgeMs maximum age of the admission tick of a dispatch, in milliseconds; older
 *     dispatches are refused
 * @param revocationRetentionMs minimum time for which revocations are kept, in milliseconds
 * @param idempotentRetentionMs minimum time for which ended idempotent attempts are kept, in
 *     milliseconds; more than the maximum age of a dispatch
 * @param maxAttempts maximum number of registered attempts
 * @param maxAnswerBytes maximum total length of the stored answers, in bytes
 * @param shards number of shards, each with its own lock
 */
public record RunRegistryLimits(
    long maxDispatchAgeMs,
    long revocationRetentionMs,
    long idempotentRetentionMs,
    int maxAttempts,
    long maxAnswerBytes,
    int shards) {
  /**
   * Default limits. The first two values are specified by the design. 400,000 attempts are more
   * than one minute at 3,400 requests/s; 390,000 attempts without keys need 67 MB of heap. Stored
   * answers are limited to 32 MB.
   */
  public static final RunRegistryLimits DEFAULT =
      new RunRegistryLimits(10_000, 60_000, 15_000, 400_000, 32L << 20, 16);

  long toNanos(long milliseconds) {
    return TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }
}
