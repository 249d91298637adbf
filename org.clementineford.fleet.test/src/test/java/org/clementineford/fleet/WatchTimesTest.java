package org.clementineford.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WatchTimesTest {
  /** Changes that the platform withholds, and the time for an answer, in milliseconds. */
  private static final long LAG_MS = 1_450;

  // Guards against times that suit the limits of one deployment only.
  @ParameterizedTest
  @CsvSource({
    "2000, 5000, 2000, 3000",
    "3000, 5000, 3000, 4000",
    "4000, 5000, 4000, 5000",
    "1000, 2500, 1000, 1500",
    "6000, 15000, 6000, 9000"
  })
  void followFromTheLimits(long applyMs, long revokeMs, long drainMs, long contactMs) {
    VmSettings.Bounds bounds =
        new VmSettings.Bounds(
            8_000, revokeMs, true, 8_000, 0.2, 100, 10, 3_600, applyMs, drainMs, contactMs);
    WatchTimes times = WatchTimes.of(bounds);
    assertThat(times.configurationMs()).isBetween(400L, applyMs / 2);
    assertThat(times.configurationPauseMs()).isLessThanOrEqualTo(applyMs / 5);
    assertThat(times.endpointsPauseMs()).isLessThanOrEqualTo(drainMs / 5);
    assertThat(times.endpointsMs()).isLessThan(contactMs);
    // An age that is normal must not refuse keys, where the limits leave room for any calls.
    if (revokeMs >= 5_000) {
      long ageMs = times.configurationMs() + times.configurationPauseMs() + LAG_MS;
      assertThat(ageMs).isLessThan(revokeMs - 400);
    }
  }
}
