package org.clementineford.serving.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.clementineford.serving.directory.PlatformHistory.Reading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlatformHistoryTest {
  private final PlatformHistory history = new PlatformHistory();

  private Reading read(long era, boolean current, long calledAt, long now) {
    return history.read(OptionalLong.of(era), current, calledAt, now);
  }

  // Guards against listing all kinds again at each start.
  @Test
  void firstEraIsNoRestoration() {
    assertThat(read(7, true, 0, 1)).isEqualTo(Reading.CURRENT);
    assertThat(history.era()).isEqualTo(7);
  }

  @Nested
  class HigherEra {
    // Guards against copies that go on in the history before a restoration.
    @Test
    void showsRestorations() {
      read(1, true, 0, 1);
      assertThat(read(2, true, 2, 3)).isEqualTo(Reading.RESTORED);
      assertThat(read(2, true, 2, 4)).isEqualTo(Reading.CURRENT);
      assertThat(read(4, false, 5, 6)).isEqualTo(Reading.RESTORED);
    }
  }

  @Nested
  class LowerEra {
    // Guards against a late answer that takes the copies back to the history before.
    @Test
    void isOutdatedInAnswersToEarlierCalls() {
      read(1, true, 0, 1);
      read(2, true, 2, 10);
      assertThat(read(1, true, 9, 12)).isEqualTo(Reading.OUTDATED);
      assertThat(history.era()).isEqualTo(2);
    }

    // Guards against taking data that is seconds old for the present state.
    @Test
    void isOutdatedInAnswersFromOldData() {
      read(1, true, 0, 1);
      read(2, true, 2, 10);
      assertThat(read(1, false, 20, 21)).isEqualTo(Reading.OUTDATED);
    }

    // Guards against a single wrong era, for example a huge one, after which all answers are
    // ignored.
    @Test
    void replacesTheKnownEraInCurrentAnswersToLaterCalls() {
      read(1, true, 0, 1);
      read(999_999_999_999_999_999L, true, 2, 10);
      assertThat(read(2, true, 11, 12)).isEqualTo(Reading.RESTORED);
      assertThat(history.era()).isEqualTo(2);
    }
  }

  @Nested
  class MissingEra {
    // Guards against a platform without eras whose answers are never used.
    @Test
    void belongsToTheKnownEra() {
      assertThat(history.read(OptionalLong.empty(), true, 0, 1)).isEqualTo(Reading.CURRENT);
      assertThat(history.era()).isZero();
    }

    // Guards against copies that were read without an era and are taken for part of a later one.
    @Test
    void letsTheFirstKnownEraCountAsRestored() {
      history.read(OptionalLong.empty(), true, 0, 1);
      assertThat(read(3, true, 2, 3)).isEqualTo(Reading.RESTORED);
    }
  }
}
