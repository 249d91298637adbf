package org.clementineford.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SoakTest {
  /** Loopback addresses that runs by hand do not use. */
  private static final int BLOCK = 200;

  // Guards against promises that hold for one fault and break when faults overlap. Seed 1041: a
  // silent store forgot watches, and endpoint VMs learnt of a version 14 s after its return.
  @ParameterizedTest
  @ValueSource(longs = {1, 1041})
  void keepsAllPromises(long seed) throws Exception {
    Path logs = Path.of("target", "soak", Long.toString(seed));
    Soak soak = new Soak(seed, BLOCK, logs, SystemNanoClock.INSTANCE, SystemEpochClock.INSTANCE);
    assertThat(soak.call().broken()).isEmpty();
  }
}
