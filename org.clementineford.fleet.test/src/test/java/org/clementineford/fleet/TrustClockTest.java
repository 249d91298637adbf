package org.clementineford.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TrustClockTest {
  private long monotonic;
  private long wallMs = 1_700_000_000_000L;
  private final TrustClock clock = new TrustClock(() -> monotonic, () -> wallMs);

  private long advance(long monotonicMs, long wall) {
    long before = clock.nanoTime();
    monotonic += TimeUnit.MILLISECONDS.toNanos(monotonicMs);
    wallMs += wall;
    return TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - before);
  }

  // Guards against trust in keys that were removed while the VM was suspended.
  @Test
  void countsTheTimeOfTheSuspension() {
    assertThat(advance(10, 6_010)).isEqualTo(6_010);
    assertThat(advance(10, 10)).isEqualTo(10);
  }

  // Guards against knowledge that looks younger after a step of the wall clock.
  @Test
  void neverRunsSlowerThanTheMonotonicClock() {
    assertThat(advance(10, -3_000)).isEqualTo(10);
  }

  // Guards against adding up small differences of the two clocks.
  @Test
  void ignoresDrift() {
    assertThat(advance(100, 150)).isEqualTo(100);
  }
}
