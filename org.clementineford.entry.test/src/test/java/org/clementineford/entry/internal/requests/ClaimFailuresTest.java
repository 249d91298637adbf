package org.clementineford.entry.internal.requests;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ClaimFailuresTest {
  private static final String KEY = "order-1";

  private final Fleet fleet = new Fleet();

  private void shortWhile() {
    fleet.time.advance(50, TimeUnit.MILLISECONDS);
  }

  private void assertAnswered(FakeCall call) {
    assertThat(call.complete).isTrue();
    assertThat(call.status).isEqualTo(200);
    assertThat(call.body()).isEqualTo("answer to 10 kg of lot 7");
  }

  @Nested
  class ResendThroughAnotherEntry {
    // Guards against a second run when a caller resends while the first run goes on.
    @Test
    void whileRunningWaitsForTheSameRun() {
      fleet.endpoints.values().forEach(e -> e.behavior = FakeEndpoint.Behavior.KEEP_RUNNING);
      final FakeCall first = fleet.reserve(fleet.entry(1), KEY);
      shortWhile();
      final FakeCall second = fleet.reserve(fleet.entry(2), KEY);
      shortWhile();
      assertThat(second.isOpen()).isTrue();
      fleet.endpoints.values().forEach(FakeEndpoint::finishRuns);
      assertAnswered(first);
      assertAnswered(second);
      assertThat(fleet.runs(KEY)).isEqualTo(1);
    }

    // Guards against a second run after the first has ended and its endpoint is gone.
    @Test
    void afterTheEndRepeatsTheStoredAnswer() {
      assertThat(fleet.reserve(fleet.entry(1), KEY).isOpen()).isTrue();
      shortWhile();
      fleet.endpoints.values().forEach(e -> e.reachable = false);
      FakeCall second = fleet.reserve(fleet.entry(2), KEY);
      fleet.time.advance(2100, TimeUnit.MILLISECONDS);
      assertAnswered(second);
      assertThat(fleet.runs(KEY)).isEqualTo(1);
    }

    // Guards against a lost request when the entry VM died between claim and dispatch.
    @Test
    void afterDeathBetweenClaimAndDispatchRunsItOnce() {
      fleet.entry(1).dead = true;
      fleet.reserve(fleet.entry(1), KEY);
      shortWhile();
      assertThat(fleet.runs(KEY)).isZero();
      FakeCall second = fleet.reserve(fleet.entry(2), KEY);
      shortWhile();
      assertAnswered(second);
      assertThat(fleet.runs(KEY)).isEqualTo(1);
    }

    // Guards against another request being answered with the answer of this key.
    @Test
    void withAnotherBodyIsRefused() {
      fleet.reserve(fleet.entry(1), KEY);
      shortWhile();
      FakeCall second = fleet.reserve(fleet.entry(2), KEY, "20 kg of lot 7");
      assertThat(second.status).isEqualTo(422);
      assertThat(second.run()).isEqualTo("not-run");
      assertThat(fleet.runs(KEY)).isEqualTo(1);
    }
  }
}
