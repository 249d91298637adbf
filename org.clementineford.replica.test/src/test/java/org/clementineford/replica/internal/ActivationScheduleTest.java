package org.clementineford.replica.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ActivationScheduleTest {
  private static final long BOUND_MS = 8_000;

  private final ActivationSchedule schedule = new ActivationSchedule(BOUND_MS);

  // Guards against all engines switching to new weights at the same time.
  @Test
  void enginesTakeTurns() {
    long first = schedule.beginAt(0, 0, 10, true);
    long last = schedule.beginAt(0, 9, 10, true);
    assertThat(last - first).isGreaterThan(TimeUnit.SECONDS.toNanos(2));
    assertThat(last).isLessThan(TimeUnit.MILLISECONDS.toNanos(BOUND_MS));
  }

  private static long seconds(double seconds) {
    return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
  }

  // Guards against leaving all engines without a version that is allowed to answer if the next
  // version is named while most of the transfer of the previous one is done.
  @Test
  void transferIsCompletedIfItsVersionCanStillServe() {
    assertThat(schedule.isWorthCompleting(0.6, seconds(3), seconds(1), seconds(2))).isTrue();
  }

  // Guards against completing a transfer that an outage of the origin delayed, although its version
  // is too old to serve by then.
  @Test
  void transferIsDroppedIfItsVersionIsTooOldByItsEnd() {
    assertThat(schedule.isWorthCompleting(0.8, seconds(8), seconds(0), seconds(6))).isFalse();
    assertThat(schedule.isWorthCompleting(0.1, seconds(1), seconds(0), seconds(0))).isFalse();
  }

  // Guards against draining an engine long before its transfer ends.
  @Test
  void engineDrainsOnlyShortlyBeforeItsTransferEnds() {
    assertThat(schedule.endsSoon(0.8, seconds(4))).isTrue();
    assertThat(schedule.endsSoon(0.6, seconds(4))).isFalse();
    assertThat(schedule.endsSoon(0.0, seconds(0))).isFalse();
  }

  // Guards against an engine that waits for its turn although it has no weights to answer with.
  @Test
  void engineWithoutWeightsDoesNotWait() {
    assertThat(schedule.beginAt(5, 9, 10, false)).isEqualTo(5);
  }
}
