package org.clementineford.serving.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class VersionGateTest {
  private static final long BOUND_MS = 8_000;

  private final VersionGate gate = new VersionGate(BOUND_MS);

  private static long ms(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  // Guards against requests on the old version after the bound, and against refusing it too early.
  @Test
  void requiresTheVersionShortlyBeforeItsBound() {
    gate.named(2, 0);
    assertThat(gate.minimum(ms(4_000))).isZero();
    assertThat(gate.minimum(ms(BOUND_MS))).isEqualTo(2);
  }

  // Guards against the bound of a version being put off by the next one.
  @Test
  void keepsTheBoundOfEachVersion() {
    gate.named(2, 0);
    gate.named(3, ms(4_000));
    assertThat(gate.minimum(ms(BOUND_MS))).isEqualTo(2);
    assertThat(gate.minimum(ms(BOUND_MS + 4_000))).isEqualTo(3);
  }

  // Guards against a late report that makes a version look newer than it is.
  @Test
  void countsFromTheEarliestReport() {
    gate.named(2, ms(3_000));
    gate.named(2, 0);
    assertThat(gate.minimum(ms(BOUND_MS))).isEqualTo(2);
  }

  // Guards against old weights after a restart of all processes, when none of them knows any more
  // when the version was named.
  @Test
  void requiresTheVersionAtOnceIfNobodySawItBeingNamed() {
    gate.namedBefore(2, 0);
    assertThat(gate.minimum(ms(100))).isZero();
    assertThat(gate.minimum(ms(1_000))).isEqualTo(2);
  }

  // Guards against engines that are taken out of use early because one process restarted.
  @Test
  void believesTheWitnessMoreThanTheRestartedProcess() {
    gate.namedBefore(2, 0);
    gate.named(2, 0);
    gate.namedBefore(2, ms(100));
    assertThat(gate.minimum(ms(1_000))).isZero();
    assertThat(gate.minimum(ms(BOUND_MS))).isEqualTo(2);
  }

  // Guards against a minimum that goes back.
  @Test
  void neverDecreases() {
    gate.named(3, 0);
    assertThat(gate.minimum(ms(BOUND_MS))).isEqualTo(3);
    gate.named(2, 0);
    assertThat(gate.minimum(ms(2 * BOUND_MS))).isEqualTo(3);
  }
}
