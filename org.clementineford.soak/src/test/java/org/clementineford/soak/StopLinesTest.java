package org.clementineford.soak;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StopLinesTest {
  private static final String STARTED = line("entry VM started", "{\"vm\":\"entry-1\"}");

  private static String line(String message, String values) {
    return "{\"timestamp\":0,\"kvpList\": ["
        + values
        + "],\"formattedMessage\":\""
        + message
        + "\"}\n";
  }

  @Nested
  class Life {
    @Test
    void thatEndedWhatItHadReadIsSound() {
      assertThat(StopLines.judge(STARTED + line("stopped", "{\"read\":\"7\"},{\"ended\":\"7\"}")))
          .isEmpty();
    }

    @Test
    void thatLeftRequestsIsReported() {
      assertThat(StopLines.judge(STARTED + line("stopped", "{\"read\":\"7\"},{\"ended\":\"5\"}")))
          .hasValue(
              "had read 7 requests, of which 5 had ended at its stop at 1970-01-01T00:00:00Z");
    }

    @Test
    void withoutCountsIsReported() {
      assertThat(StopLines.judge(STARTED + line("stopped", "{\"running\":\"0\"}")).orElseThrow())
          .startsWith("did not say");
    }

    @Test
    void withoutLineOfItsStopIsReported() {
      assertThat(StopLines.judge(STARTED + "OpenJDK warning\n").orElseThrow())
          .endsWith("without the line of its stop");
    }

    @Test
    void thatDidNotBeginToListenIsSound() {
      assertThat(StopLines.judge("")).isEmpty();
    }
  }
}
