package org.clementineford.serving.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class RequestPauseTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private final RequestPause pause = new RequestPause();

  // Guards against requests during a pause, and a pause that does not end.
  @Test
  void excludesTheEndpointUntilItsEnd() {
    assertThat(pause.allows(0, 0)).isTrue();
    pause.begin(1.5, 0);
    assertThat(pause.allows(0, 3 * SECOND / 2 - 1)).isFalse();
    assertThat(pause.waitNanos(SECOND)).isEqualTo(SECOND / 2);
    assertThat(pause.allows(0, 3 * SECOND / 2)).isTrue();
  }

  // Guards against all waiting requests at the moment at which a pause ends.
  @Test
  void letsRequestsReturnStepByStep() {
    pause.begin(1, 0);
    assertThat(pause.allows(0, SECOND)).isTrue();
    assertThat(pause.allows(1, SECOND)).isFalse();
    assertThat(pause.allows(1, SECOND + SECOND / 10)).isTrue();
    assertThat(pause.allows(2, SECOND + SECOND / 10)).isFalse();
    assertThat(pause.allows(500, 2 * SECOND)).isTrue();
  }

  // Guards against an endpoint that is lost because of a number that makes no sense.
  @Test
  void isReplacedByTheNextStatementAndLastsForOneDayAtMost() {
    pause.begin(1e300, 0);
    assertThat(pause.waitNanos(0)).isEqualTo(TimeUnit.DAYS.toNanos(1));
    pause.begin(2, SECOND);
    assertThat(pause.waitNanos(SECOND)).isEqualTo(2 * SECOND);
    pause.begin(0, SECOND);
    assertThat(pause.allows(9, SECOND)).isTrue();
  }
}
