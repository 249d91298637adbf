package org.clementineford.entry.internal.requests;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ClaimFailuresTest {
  private static final String KEY = "order-1";
  private static final String BODY = "10 kg of lot 7";

  private final VirtualTimeFleet fleet = new VirtualTimeFleet();

  private void advanceBriefly() {
    fleet.time.advance(50, TimeUnit.MILLISECONDS);
  }

  private void assertAnswered(FakeCall call) {
    assertThat(call.complete).isTrue();
    assertThat(call.status).isEqualTo(200);
    assertThat(call.body()).isEqualTo("answer to " + BODY);
  }

  @Nested
  class ResendThroughAnotherEntry {
    // Guards against a second run when a caller resends a request that is still running.
    @Test
    void whileRunningWaitsForTheSameRun() {
      fleet.endpoints.values().forEach(e -> e.behavior = FakeEndpoint.Behavior.KEEP_RUNNING);
      final FakeCall first = fleet.reserve(fleet.entry(1), KEY);
      advanceBriefly();
      final FakeCall second = fleet.reserve(fleet.entry(2), KEY);
      advanceBriefly();
      assertThat(second.isOpen()).isTrue();
      fleet.endpoints.values().forEach(FakeEndpoint::finishRuns);
      assertAnswered(first);
      assertAnswered(second);
      assertThat(fleet.runs(KEY)).isEqualTo(1);
    }

    // Guards against a second run after the first has ended and its endpoint is unreachable.
    @Test
    void afterTheEndRepeatsTheStoredAnswer() {
      assertThat(fleet.reserve(fleet.entry(1), KEY).isOpen()).isTrue();
      advanceBriefly();
      fleet.endpoints.values().forEach(e -> e.reachable = false);
      FakeCall second = fleet.reserve(fleet.entry(2), KEY);
      fleet.time.advance(2100, TimeUnit.MILLISECONDS);
      assertAnswered(second);
      assertThat(fleet.runs(KEY)).isEqualTo(1);
    }

    // Guards against losing a request when the entry VM crashes between claim and dispatch.
    @Test
    void afterCrashBetweenClaimAndDispatchRunsItOnce() {
      fleet.entry(1).crashed = true;
      fleet.reserve(fleet.entry(1), KEY);
      advanceBriefly();
      assertThat(fleet.runs(KEY)).isZero();
      FakeCall second = fleet.reserve(fleet.entry(2), KEY);
      advanceBriefly();
      assertAnswered(second);
      assertThat(fleet.runs(KEY)).isEqualTo(1);
    }

    // Guards against answering a different request with the answer stored for the key.
    @Test
    void withAnotherBodyIsRefused() {
      fleet.reserve(fleet.entry(1), KEY);
      advanceBriefly();
      FakeCall second = fleet.reserve(fleet.entry(2), KEY, "20 kg of lot 7");
      assertThat(second.status).isEqualTo(422);
      assertThat(second.run()).isEqualTo("not-run");
      assertThat(fleet.runs(KEY)).isEqualTo(1);
    }
  }

  @Nested
  class PlatformOutage {
    // Guards against a run without a claim, because a resend would not find that run.
    @Test
    void beforeTheClaimRefusesAsNotRun() {
      fleet.store.fault(FakeStore.Fault.DOWN);
      FakeCall call = fleet.reserve(fleet.entry(1), KEY);
      assertThat(call.status).isEqualTo(503);
      assertThat(call.run()).isEqualTo("not-run");
      assertThat(call.headers).containsKey("Retry-After");
      fleet.advanceWithReports(20_000);
      assertThat(fleet.runs(KEY)).isZero();
    }

    // Guards against a run after the refusal. The claim was written, but its reply was lost and it
    // cannot be read back.
    @Test
    void duringTheClaimRefusesAsNotRunAndTheResendRunsOnce() {
      fleet.store.fault(FakeStore.Fault.LOSE_REPLY_THEN_DOWN);
      FakeCall first = fleet.reserve(fleet.entry(1), KEY);
      assertThat(first.status).isEqualTo(503);
      assertThat(first.run()).isEqualTo("not-run");
      fleet.advanceWithReports(5000);
      assertThat(fleet.runs(KEY)).isZero();
      fleet.store.fault(FakeStore.Fault.NONE);
      FakeCall second = fleet.reserve(fleet.entry(2), KEY);
      advanceBriefly();
      assertAnswered(second);
      assertThat(fleet.runs(KEY)).isEqualTo(1);
    }

    // Guards against losing an answer because the end of its run could not be recorded.
    @Test
    void afterTheClaimAnswersAndTheResendGetsTheEndpointsReport() {
      fleet.endpoints.values().forEach(e -> e.behavior = FakeEndpoint.Behavior.KEEP_RUNNING);
      final FakeCall first = fleet.reserve(fleet.entry(1), KEY);
      advanceBriefly();
      fleet.store.fault(FakeStore.Fault.DOWN);
      fleet.endpoints.values().forEach(FakeEndpoint::finishRuns);
      assertAnswered(first);
      FakeCall refused = fleet.reserve(fleet.entry(2), KEY);
      assertThat(refused.status).isEqualTo(503);
      fleet.store.fault(FakeStore.Fault.NONE);
      FakeCall second = fleet.reserve(fleet.entry(2), KEY);
      advanceBriefly();
      assertAnswered(second);
      assertThat(fleet.runs(KEY)).isEqualTo(1);
    }

    // Guards against refusing idempotent requests, which need no claim.
    @Test
    void doesNotAffectIdempotentRequests() {
      fleet.store.fault(FakeStore.Fault.DOWN);
      FakeCall call = fleet.chat(fleet.entry(1), false);
      advanceBriefly();
      assertThat(call.status).isEqualTo(200);
    }

    // Guards against a second attempt when the reply to a successful claim write was lost.
    @Test
    void thatLosesTheReplyOfTheClaimRunsOnce() {
      fleet.store.fault(FakeStore.Fault.LOSE_WRITE_REPLIES);
      FakeCall call = fleet.reserve(fleet.entry(1), KEY);
      advanceBriefly();
      assertAnswered(call);
      assertThat(fleet.runs(KEY)).isEqualTo(1);
    }
  }

  @Nested
  class EndpointRestart {
    // Guards against a second run after the endpoint lost its record of the first in a restart.
    @Test
    void duringTheRunMakesTheOutcomeUnknown() {
      fleet.endpoints.values().forEach(e -> e.behavior = FakeEndpoint.Behavior.KEEP_RUNNING);
      fleet.reserve(fleet.entry(1), KEY);
      advanceBriefly();
      assertThat(fleet.runs(KEY)).isEqualTo(1);
      fleet.endpoints.values().forEach(FakeEndpoint::restart);
      fleet.sendLoadReports();
      FakeCall second = fleet.reserve(fleet.entry(2), KEY);
      fleet.advanceWithReports(2000);
      assertThat(second.status).isEqualTo(502);
      assertThat(second.run()).isEqualTo("unknown");
      assertThat(fleet.runs(KEY)).isEqualTo(1);
    }
  }

  @Nested
  class DelayedDispatch {
    // Guards against a delayed dispatch that runs after the record of its revocation has expired.
    @Test
    void heldByTheConnectionNeverRunsTwice() {
      FakeEndpoint slow = fleet.isolateEndpoint();
      slow.behavior = FakeEndpoint.Behavior.HOLD_CONNECTION;
      final FakeCall first = fleet.reserve(fleet.entry(1), KEY);
      fleet.time.advance(100, TimeUnit.MILLISECONDS);
      fleet.endpoint(2).reachable = true;
      fleet.sendLoadReports();
      FakeCall second = fleet.reserve(fleet.entry(2), KEY);
      fleet.time.advance(100, TimeUnit.MILLISECONDS);
      assertAnswered(second);
      fleet.advanceWithReports(4000);
      assertAnswered(first);
      slow.behavior = FakeEndpoint.Behavior.ANSWER;
      fleet.advanceWithReports(120_000);
      slow.deliverHeldDispatches();
      assertThat(slow.refusals).contains("stale-dispatch");
      assertThat(fleet.runs(KEY)).isEqualTo(1);
    }

    // Guards against an entry VM that pauses after writing its claim and then dispatches with
    // a new tick. Endpoints refuse ticks older than 10 s and keep revocations for 60 s.
    @ParameterizedTest
    @ValueSource(longs = {500, 9_000, 11_000, 30_000, 59_000, 61_000, 70_000})
    void heldByThePausedEntryNeverRunsTwice(long pauseMs) {
      fleet.store.fault(FakeStore.Fault.HOLD_REPLIES);
      final FakeCall first =
          fleet.reserve(fleet.entry(1), KEY, BODY, Map.of("Clementineford-Timeout-Ms", "600000"));
      fleet.store.fault(FakeStore.Fault.NONE);
      FakeCall second = fleet.reserve(fleet.entry(2), KEY);
      advanceBriefly();
      assertAnswered(second);
      fleet.advanceWithReports(pauseMs);
      fleet.store.releaseReplies();
      advanceBriefly();
      assertAnswered(first);
      assertThat(fleet.runs(KEY)).isEqualTo(1);
    }
  }
}
