package org.clementineford.serving.directory;

import java.util.concurrent.TimeUnit;

/**
 * The last time at which a copy was confirmed to be current. After a restoration, answers of the
 * platform prove nothing for some time in which operators write again what was lost; peers that had
 * a proof still give it. Times are nanoseconds of one monotonic clock.
 */
final class CopyProof {
  /** Era of a platform that was never restored. */
  private static final long FIRST_ERA = 1;

  /**
   * Longest age of the copy from which a platform is restored; its operators speak of some seconds.
   * A copy that is older than the era before may show the same versions at any revisions.
   */
  static final long MAX_COPY_AGE_NANOS = TimeUnit.SECONDS.toNanos(20);

  private final long settlingNanos;
  private boolean proven;
  private long currentAt;
  private long settledAt;
  private long eraSince;

  /**
   * Creates a proof that was never given.
   *
   * @param settlingNanos time after a restoration in which answers of the platform prove nothing; 0
   *     if they always do
   */
  CopyProof(long settlingNanos) {
    this.settlingNanos = settlingNanos;
  }

  /** Records the first listing. The platform may just have been restored. */
  void loaded(long era, long now) {
    settledAt = era > FIRST_ERA ? now + settlingNanos : now;
    eraSince = now;
  }

  /**
   * Records the first listing of another era.
   *
   * @param showsWrites true if the platform shows all objects of the copy as written again, unless
   *     it was restored from a copy that is older than the era before
   */
  void eraChanged(boolean showsWrites, long now) {
    boolean writtenAgain = showsWrites && now - eraSince >= MAX_COPY_AGE_NANOS;
    settledAt = writtenAgain ? now : now + settlingNanos;
    eraSince = now;
  }

  /** Records that everything that was kept has been written again. */
  void writtenAgain(long now) {
    if (proven) {
      settledAt = Math.min(settledAt, now);
    }
  }

  /** Records that the copy was current at a time, by an answer of the platform. */
  void answered(long time, long now) {
    if (settlingNanos(now) == 0) {
      confirm(time);
    }
  }

  /** Records that the copy was current at a time. */
  void confirm(long time) {
    if (!proven || time - currentAt > 0) {
      currentAt = time;
      proven = true;
    }
  }

  /** Returns the time until answers of the platform count; 0 if they do. */
  long settlingNanos(long now) {
    return Math.max(0, settledAt - now);
  }

  boolean isProven() {
    return proven;
  }

  /** Returns the time since the last confirmation; the largest number if there was none. */
  long ageNanos(long now) {
    return proven ? now - currentAt : Long.MAX_VALUE;
  }
}
