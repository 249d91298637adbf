package org.clementineford.replica.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ActivationScheduleTest {
  private static final long BOUND_MS = 8_000;

  private final ActivationSchedule schedule = new ActivationSchedule(BOUND_MS);

  // Guards against all engines switching to new weights at the same time.
  @Test
  void enginesTakeTurns() {
    long first = schedule.beginAt(0, seconds(4), 0, true);
    long last = schedule.beginAt(0, seconds(4), 0.9, true);
    assertThat(last - first).isGreaterThan(TimeUnit.SECONDS.toNanos(2));
    assertThat(last).isLessThan(TimeUnit.MILLISECONDS.toNanos(BOUND_MS));
  }

  // Guards against turns that are over before any engine has its weights: all would then switch as
  // soon as their transfers end. Engines take 1.5 s to end their requests and 0.3 s to load.
  @ParameterizedTest
  @CsvSource({"10, 3, 4.3", "19, 3, 4.3", "19, 3, 5.5", "36, 3, 5", "97, 5, 5", "5, 5, 4.3"})
  void mostOfTheTimeHalfOfTheEnginesAnswer(int engines, int dataCentres, double transferSeconds) {
    List<VmIdentity> vms = new ArrayList<>();
    for (int i = 0; i < engines; i++) {
      HostPort address = new HostPort("10.0.0." + i, 1);
      String dataCentre = "dc-" + i % dataCentres;
      vms.add(new VmIdentity("vm-" + i, VmRole.ENDPOINT, dataCentre, dataCentre, 0, address));
    }
    double sum = 0;
    int steps = 0;
    for (long now = 0; now < seconds(10); now += seconds(0.05)) {
      int answering = 0;
      for (int i = 0; i < engines; i++) {
        List<VmIdentity> peers = new ArrayList<>(vms);
        peers.remove(i);
        double turn = ActivationTurn.of(vms.get(i), peers, "m/2");
        // Transfers end within half a second of each other.
        long end = seconds(transferSeconds + 0.5 * i / engines);
        long begin = schedule.beginAt(0, end, turn, true);
        long drain = Math.max(begin, end - seconds(1.5));
        answering +=
            now < drain || now >= Math.max(drain + seconds(1.5), end) + seconds(0.3) ? 1 : 0;
      }
      assertThat(answering).as("at %d ms", now / 1_000_000).isGreaterThanOrEqualTo(engines / 4);
      if (answering < engines) {
        sum += (double) answering / engines;
        steps++;
      }
    }
    assertThat(sum / steps).isGreaterThan(0.5);
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

  // Guards against waiting for the next version while its transfer stalls.
  @Test
  void stalledTransferIsNotExpectedToEndSoon() {
    assertThat(schedule.expectedEnd(0.1, seconds(1), seconds(4), 0)).isEqualTo(seconds(3));
    assertThat(schedule.expectedEnd(0.1, seconds(5), seconds(4), 0)).isGreaterThan(seconds(40));
    assertThat(schedule.expectedEnd(0, seconds(5), seconds(4), 0)).isEqualTo(seconds(8));
    assertThat(schedule.expectedEnd(0.5, seconds(1), seconds(4), 0)).isEqualTo(seconds(1));
  }

  // Guards against an engine that switches twice in a row and answers hardly in between. Version 2
  // is
  // named at 0 s and required at 7.2 s.
  @ParameterizedTest
  @CsvSource({
    "4.5, 8.5, false, false",
    "4.5, 9.0, false, true",
    "6.5, 9.0, false, false",
    "6.5, 9.5, false, true",
    "7.5, 9.0, false, false",
    "7.5, 9.0, true, true",
    "8.7, 9.0, true, false"
  })
  void supersededVersionIsLoadedIfTheEngineThenAnswersForLonger(
      double now, double nextBegins, boolean idle, boolean worth) {
    boolean result = schedule.isWorthSwitching(0, seconds(nextBegins), idle, seconds(now));
    assertThat(result).isEqualTo(worth);
  }

  // Guards against an engine that waits for its turn although it has no weights to answer with.
  @Test
  void engineWithoutWeightsDoesNotWait() {
    assertThat(schedule.beginAt(5, seconds(4), 0.9, false)).isEqualTo(5);
  }
}
