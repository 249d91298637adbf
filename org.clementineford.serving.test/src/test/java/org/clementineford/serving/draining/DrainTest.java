package org.clementineford.serving.draining;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DrainTest {
  private static final OptionalLong UNKNOWN = OptionalLong.empty();

  private final Drain drain = new Drain(2_600, 7_300);

  @Nested
  class RequestThatEndsBeforeTheProcessInAnyCase {
    @Test
    void isServedUntilTheEnd() {
      assertThat(drain.serves(0, 7_300, UNKNOWN)).isTrue();
      assertThat(drain.serves(7_200, 7_300, OptionalLong.of(6_000))).isTrue();
    }
  }

  @Nested
  class RequestThatMayLastLonger {
    // Guards against answers that are cut although the caller could have gone elsewhere.
    @Test
    void isRefusedOnceOtherProcessesTakeItsCaller() {
      assertThat(drain.serves(2_599, 7_301, OptionalLong.of(100))).isTrue();
      assertThat(drain.serves(2_600, 7_301, OptionalLong.of(100))).isFalse();
    }

    @Test
    void isServedBeforeIfLongerAnswersEndInTime() {
      assertThat(drain.serves(2_300, 8_300, OptionalLong.of(4_000))).isTrue();
      assertThat(drain.serves(2_300, 8_300, OptionalLong.of(4_001))).isFalse();
    }

    @Test
    void isRefusedIfItsTimeIsUnknown() {
      assertThat(drain.serves(0, 10_000, UNKNOWN)).isFalse();
    }
  }

  @Nested
  class StartedAnswer {
    // Guards against answers that are broken off though another endpoint can end them in time.
    @Test
    void isContinuedAsLongAsLongerAnswersEndInTime() {
      assertThat(drain.continues(3_300, 8_300, OptionalLong.of(3_200))).isTrue();
      assertThat(drain.continues(3_300, 8_300, OptionalLong.of(3_201))).isFalse();
      assertThat(drain.continues(3_300, 8_300, UNKNOWN)).isFalse();
      assertThat(drain.continues(7_200, 7_300, UNKNOWN)).isTrue();
    }
  }

  @Nested
  class ClockNearItsLargestValue {
    @Test
    void changesNothing() {
      long begin = Long.MAX_VALUE - 1_000;
      Drain late = new Drain(begin + 2_600, begin + 7_300);
      assertThat(late.serves(begin, begin + 8_000, OptionalLong.of(1_000))).isTrue();
      assertThat(late.serves(begin + 2_600, begin + 8_000, OptionalLong.of(1_000))).isFalse();
      assertThat(late.serves(begin + 2_600, begin + 7_000, UNKNOWN)).isTrue();
    }
  }
}
