package org.clementineford.serving.draining;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class AnswerTimesTest {
  private final AnswerTimes times = new AnswerTimes(100, 0);

  @Test
  void areUnknownWithoutAnswers() {
    assertThat(times.longest(0)).isEmpty();
  }

  @Test
  void keepTheLongestOfThePresentPeriodAndTheOneBefore() {
    times.record(70, 10);
    times.record(50, 110);
    assertThat(times.longest(199)).hasValue(70);
    assertThat(times.longest(200)).hasValue(50);
  }

  @Test
  void areUnknownAfterTwoPeriodsWithoutAnswers() {
    times.record(70, 10);
    assertThat(times.longest(199)).hasValue(70);
    assertThat(times.longest(210)).isEmpty();
  }
}
