package org.clementineford.serving.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.clementineford.serving.quarantine.Interruptions.Interruption;
import org.junit.jupiter.api.Test;

class InterruptionsTest {
  private static final Suspect PART = new Suspect(Suspect.Kind.PROMPT_PART, "pool", "part");

  // Guards against memory that grows with each answer that a running engine breaks off.
  @Test
  void ofRunningEnginesAreForgotten() {
    Interruptions interruptions = new Interruptions();
    for (int i = 0; i < 1_000; i++) {
      interruptions.addUnlessCrashed(
          1, new Interruption(i, List.of(PART), TimeUnit.SECONDS.toNanos(i)));
    }
    assertThat(interruptions.size()).isLessThanOrEqualTo(3);
  }
}
