package org.clementineford.serving.streams;

import static org.assertj.core.api.Assertions.assertThat;

import org.clementineford.serving.model.RequestKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SilenceActionTest {
  // Guards against ending an attempt for its silence when nothing can take its place.
  @ParameterizedTest
  @CsvSource({
    "STREAM, true, true, BEGIN_ANOTHER_ATTEMPT",
    "STREAM, true, false, KEEP",
    "STREAM, false, true, BEGIN_ANOTHER_ATTEMPT",
    "STREAM, false, false, FAIL",
    "IDEMPOTENT, false, true, BEGIN_ANOTHER_ATTEMPT",
    "IDEMPOTENT, false, false, KEEP"
  })
  void endsAnAttemptOnlyForAnotherOrBeforeTheFirstEvent(
      RequestKind kind, boolean started, boolean otherReady, SilenceAction expected) {
    assertThat(SilenceAction.of(kind, started, otherReady)).isEqualTo(expected);
  }
}
