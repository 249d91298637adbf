package org.clementineford.serving.streams;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class StreamSilenceTest {
  // Guards against cutting streams of engines that run, but are slow.
  @Test
  void lastsAsLongAsTheCallerLeavesTimeForAnotherAttempt() {
    assertThat(StreamSilence.FIRST_EVENT.limitMs(true, 3_200)).isEqualTo(2_300);
    assertThat(StreamSilence.NEXT_EVENT.limitMs(true, 4_000)).isEqualTo(3_100);
  }

  // Guards against callers that wait for an endpoint which is cut off.
  @Test
  void isShortIfTheEndpointIsNotHeard() {
    assertThat(StreamSilence.FIRST_EVENT.limitMs(false, 4_000)).isEqualTo(1_500);
    assertThat(StreamSilence.NEXT_EVENT.limitMs(false, 4_000)).isEqualTo(1_000);
  }

  // Guards against a limit that falls with the time that is left.
  @Test
  void isNotShorterForImpatientCallers() {
    assertThat(StreamSilence.FIRST_EVENT.limitMs(true, 600)).isEqualTo(1_500);
  }
}
