package org.clementineford.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SuspensionAwareClockTest {
  private long monotonic;
  private long wallMs = 1_700_000_000_000L;
  private final SuspensionAwareClock clock =
      new SuspensionAwareClock(() -> monotonic, () -> wallMs);

  private long advance(long monotonicMs, long wallMsStep) {
    long before = clock.nanoTime();
    monotonic += TimeUnit.MILLISECONDS.toNanos(monotonicMs);
    wallMs += wallMsStep;
    return TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - before);
  }

  // Guards against accepting keys that were removed while the VM was suspended.
  @Test
  void includesTheTimeOfTheSuspension() {
    assertThat(advance(10, 6_010)).isEqualTo(6_010);
    assertThat(advance(10, 10)).isEqualTo(10);
  }

  // Guards against copies that look younger after a backward step of the wall clock.
  @Test
  void neverRunsSlowerThanTheMonotonicClock() {
    assertThat(advance(10, -3_000)).isEqualTo(10);
  }

  // Guards against summing up small differences between the two clocks.
  @Test
  void ignoresDrift() {
    assertThat(advance(100, 150)).isEqualTo(100);
  }
}
