package org.clementineford.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class RecordedBurstTest {
  private static final String GOLDEN = "burst.txt";

  // Guards against unintended changes of any decision in a burst with a failed VM, a corrupt chunk
  // and version changes. After an intended change, copy target/burst.txt over the golden file.
  @Test
  void burstMatchesRecordedDecisions() throws IOException {
    SimulatedBurst burst = new SimulatedBurst();
    burst.startTransfersOf("v1");
    burst.runMillis(105);
    burst.corruptNext();
    burst.kill("vm-5");
    burst.runMillis(1000);
    burst.startTransfersOf("v2");
    burst.runMillis(105);
    burst.startTransfersOf("v3");
    burst.runMillis(3000);
    String actual = burst.log();
    Files.writeString(Path.of("target", GOLDEN), actual);
    assertThat(burst.allComplete()).isTrue();
    assertThat(actual).isEqualTo(golden());
  }

  private static String golden() throws IOException {
    try (InputStream stream = RecordedBurstTest.class.getResourceAsStream(GOLDEN)) {
      return stream == null ? "" : new String(stream.readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
