package org.clementineford.serving.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MinimumWeightVersionTest {
  private static final long BOUND_MS = 8_000;

  private final MinimumWeightVersion minimumVersion = new MinimumWeightVersion(BOUND_MS);

  private static long ms(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  // Guards against requests that begin on the old version after the bound, and against excluding
  // the old version too early.
  @Test
  void requiresTheVersionShortlyBeforeItsBound() {
    minimumVersion.addTarget(2, 0);
    assertThat(minimumVersion.minimum(ms(4_000))).isZero();
    assertThat(minimumVersion.minimum(ms(BOUND_MS))).isEqualTo(2);
  }

  // Guards against a newer target version that delays the bound of the one before it.
  @Test
  void keepsTheBoundOfEachVersion() {
    minimumVersion.addTarget(2, 0);
    minimumVersion.addTarget(3, ms(4_000));
    assertThat(minimumVersion.minimum(ms(BOUND_MS))).isEqualTo(2);
    assertThat(minimumVersion.minimum(ms(BOUND_MS + 4_000))).isEqualTo(3);
  }

  // Guards against a report with a later set time that postpones the bound of a version.
  @Test
  void countsFromTheEarliestReport() {
    minimumVersion.addTarget(2, ms(3_000));
    minimumVersion.addTarget(2, 0);
    assertThat(minimumVersion.minimum(ms(BOUND_MS))).isEqualTo(2);
  }

  // Guards against answers from old weights after a restart of all processes, which lose the time
  // at which the target version was set.
  @Test
  void requiresTheVersionSoonIfItsSetTimeIsUnknown() {
    minimumVersion.addTargetWithUnknownTime(2, 0);
    assertThat(minimumVersion.minimum(ms(100))).isZero();
    assertThat(minimumVersion.minimum(ms(1_000))).isEqualTo(2);
  }

  // Guards against engines that are excluded too early because one process restarted and reports
  // an unknown set time.
  @Test
  void prefersTheKnownSetTimeToTheUnknownOne() {
    minimumVersion.addTargetWithUnknownTime(2, 0);
    minimumVersion.addTarget(2, 0);
    minimumVersion.addTargetWithUnknownTime(2, ms(100));
    assertThat(minimumVersion.minimum(ms(1_000))).isZero();
    assertThat(minimumVersion.minimum(ms(BOUND_MS))).isEqualTo(2);
  }

  // Guards against a minimum that decreases when an older target version is reported.
  @Test
  void neverDecreases() {
    minimumVersion.addTarget(3, 0);
    assertThat(minimumVersion.minimum(ms(BOUND_MS))).isEqualTo(3);
    minimumVersion.addTarget(2, 0);
    assertThat(minimumVersion.minimum(ms(2 * BOUND_MS))).isEqualTo(3);
  }

  // Guards against requests that are sent in time, and wait at their engine until after the bound.
  @Test
  void isRequiredSoonerForRequestsThatWait() {
    minimumVersion.addTarget(2, 0);
    assertThat(minimumVersion.minimumFor(ms(6_500), 100)).isZero();
    assertThat(minimumVersion.minimumFor(ms(6_500), 1_400)).isEqualTo(2);
    assertThat(minimumVersion.minimum(ms(6_500))).isZero();
  }

  // Guards against a recall of requests at engines that have the newest version.
  @Test
  void recallsOnlyFromOlderVersions() {
    minimumVersion.addTarget(2, 0);
    assertThat(minimumVersion.recallDelayNanos(2, ms(6_500))).isEmpty();
    assertThat(minimumVersion.recallDelayNanos(1, ms(6_500)).orElseThrow())
        .isBetween(ms(1_000), ms(1_500));
  }

  // Guards against a recall that is forgotten once the newer version is required.
  @Test
  void recallsAfterTheVersionIsRequiredToo() {
    minimumVersion.addTarget(2, 0);
    assertThat(minimumVersion.minimum(ms(7_300))).isEqualTo(2);
    assertThat(minimumVersion.recallDelayNanos(1, ms(7_300)).orElseThrow())
        .isBetween(ms(300), ms(600));
    assertThat(minimumVersion.recallDelayNanos(1, ms(9_000))).hasValue(0);
    assertThat(minimumVersion.recallDelayNanos(2, ms(9_000))).isEmpty();
  }

  /** Versions that become known in another order than they were named in. */
  @Nested
  class KnownOutOfOrder {
    // Guards against an entry VM that starts between two versions and misses the first one's bound.
    @Test
    void keepsTheBoundOfTheVersionBefore() {
      minimumVersion.addTarget(3, ms(6_000));
      minimumVersion.addTarget(2, 0);
      assertThat(minimumVersion.minimum(ms(BOUND_MS))).isEqualTo(2);
      assertThat(minimumVersion.minimum(ms(6_000 + BOUND_MS))).isEqualTo(3);
    }

    // Guards against a recall by the bound of the newest version in place of the first one's.
    @Test
    void recallsByTheBoundOfTheVersionBefore() {
      minimumVersion.addTarget(3, ms(400));
      minimumVersion.addTarget(2, 0);
      assertThat(minimumVersion.minimum(ms(BOUND_MS))).isEqualTo(3);
      assertThat(minimumVersion.recallDelayNanos(1, ms(BOUND_MS))).hasValue(0);
      assertThat(minimumVersion.recallDelayNanos(2, ms(BOUND_MS)).orElseThrow()).isPositive();
    }

    // Guards against a version of unknown age that is taken for as young as the one after it.
    @Test
    void requiresTheVersionBeforeSoonIfItsSetTimeIsUnknown() {
      minimumVersion.addTarget(3, 0);
      minimumVersion.addTargetWithUnknownTime(2, 0);
      assertThat(minimumVersion.minimum(ms(1_000))).isEqualTo(2);
    }
  }

  /** More versions within one bound than are kept. */
  @Nested
  class ManyVersions {
    // Guards against versions that are required later, or never, since others were named after
    // them.
    @Test
    void areRequiredByTheirBounds() {
      for (int version = 2; version < 40; version++) {
        minimumVersion.addTarget(version, ms(100 * version));
      }
      for (int version = 2; version < 40; version++) {
        assertThat(minimumVersion.minimum(ms(100 * version + BOUND_MS)))
            .isGreaterThanOrEqualTo(version);
      }
    }
  }
}
