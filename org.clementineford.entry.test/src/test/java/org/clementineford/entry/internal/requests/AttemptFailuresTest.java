package org.clementineford.entry.internal.requests;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.clementineford.entry.internal.requests.FakeEndpoint.Behavior;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AttemptFailuresTest {
  private final VirtualTimeFleet fleet = new VirtualTimeFleet();

  private void advanceBriefly() {
    fleet.time.advance(50, TimeUnit.MILLISECONDS);
  }

  private void setAllBehaviors(Behavior behavior) {
    fleet.endpoints.values().forEach(endpoint -> endpoint.behavior = behavior);
  }

  private int runs() {
    return fleet.runs("/reservations");
  }

  @Nested
  class IdempotentRequests {
    // Guards against failing idempotent requests when the connection to their endpoint is lost.
    @Test
    void areRetriedElsewhereAfterLostConnection() {
      fleet.endpoint(1).behavior = Behavior.LOSE_ANSWER;
      for (int i = 0; i < 20; i++) {
        FakeCall call = fleet.chat(fleet.entry(1), false);
        advanceBriefly();
        assertThat(call.status).isEqualTo(200);
      }
      assertThat(fleet.endpoint(1).runs).isNotEmpty();
    }

    // Guards against waiting without limit on a connection that is open but unresponsive.
    @Test
    void areRetriedElsewhereAfterThreeSecondsOnAnUnresponsiveConnection() {
      fleet.isolateEndpoint().behavior = Behavior.HOLD_CONNECTION;
      FakeCall call = fleet.chat(fleet.entry(1), false);
      fleet.endpoint(2).reachable = true;
      fleet.advanceWithReports(3100);
      assertThat(call.status).isEqualTo(200);
    }

    // Guards against retries that multiply the load while all endpoints fail.
    @Test
    void areNotRetriedBeyondTheRetryBudget() {
      setAllBehaviors(Behavior.LOSE_ANSWER);
      int calls = 200;
      for (int i = 0; i < calls; i++) {
        FakeCall call = fleet.chat(fleet.entry(1), false);
        fleet.time.advance(2, TimeUnit.MILLISECONDS);
        assertThat(call.status).isIn(0, 502);
      }
      advanceBriefly();
      int dispatches = fleet.endpoints.values().stream().mapToInt(e -> e.dispatches.size()).sum();
      // A tenth of the first attempts, the initial reserve of 10, and 10 per second for 0.45 s.
      assertThat(dispatches - calls).isLessThanOrEqualTo(20 + 10 + 5);
    }

    // Guards against answers that contain parts of two attempts.
    @Test
    void discardTheDataOfFailedAttempts() {
      fleet.endpoint(1).behavior = Behavior.SKIP_PART;
      for (int i = 0; i < 10; i++) {
        FakeCall call = fleet.chat(fleet.entry(1), false);
        advanceBriefly();
        assertThat(call.body()).startsWith("answer to {");
      }
    }
  }

  @Nested
  class RequestsWithoutKey {
    // Guards against a second run after the answer of the first was lost.
    @Test
    void getTheAnswerOfTheirOnlyRunAfterLostConnection() {
      setAllBehaviors(Behavior.LOSE_ANSWER);
      FakeCall call = fleet.reserve(fleet.entry(1), null);
      advanceBriefly();
      assertThat(call.body()).isEqualTo("answer to 10 kg of lot 7");
      assertThat(runs()).isEqualTo(1);
    }

    // Guards against reporting "not-run" for a request that ran on an endpoint that crashed.
    @Test
    void endAsUnknownIfTheEndpointCrashed() {
      setAllBehaviors(Behavior.KEEP_RUNNING);
      final FakeCall call = fleet.reserve(fleet.entry(1), null);
      advanceBriefly();
      setAllBehaviors(Behavior.LOSE_ANSWER);
      fleet
          .endpoints
          .values()
          .forEach(
              endpoint -> {
                endpoint.finishRuns();
                endpoint.restart();
              });
      fleet.advanceWithReports(2000);
      assertThat(call.status).isEqualTo(502);
      assertThat(call.run()).isEqualTo("unknown");
      assertThat(runs()).isEqualTo(1);
    }

    // Guards against failing a request that no endpoint has run.
    @Test
    void areRetriedElsewhereIfRefusedAsNotRun() {
      fleet.endpoint(1).behavior = Behavior.REFUSE;
      for (int i = 0; i < 8; i++) {
        FakeCall call = fleet.reserve(fleet.entry(1), null);
        advanceBriefly();
        assertThat(call.status).isEqualTo(200);
      }
      assertThat(runs()).isEqualTo(8);
    }

    // Guards against a late response, or none, when every endpoint refuses.
    @Test
    void areRefusedWithoutDelayWithTheEndpointsReasonWhenAllRefuse() {
      setAllBehaviors(Behavior.REFUSE);
      FakeCall call = fleet.reserve(fleet.entry(1), null);
      fleet.time.advance(5, TimeUnit.MILLISECONDS);
      assertThat(call.status).isEqualTo(429);
      assertThat(call.run()).isEqualTo("not-run");
      assertThat(call.headers).containsEntry("Retry-After", "2");
    }
  }

  @Nested
  class Streams {
    // Guards against a broken stream that the caller takes for a short but complete answer.
    @Test
    void thatBreakCloseTheCallersConnection() {
      setAllBehaviors(Behavior.BREAK_STREAM);
      FakeCall call = fleet.chat(fleet.entry(1), true);
      advanceBriefly();
      assertThat(call.body()).isEqualTo("ans");
      assertThat(call.aborted).isTrue();
      assertThat(call.complete).isFalse();
      assertThat(fleet.entry(1).metrics.abortedResponses.labelValues("connection-lost").get())
          .isEqualTo(1);
    }

    // Guards against aborting streams that another endpoint can continue with the same bytes.
    @Test
    void thatBreakContinueWithTheSameAnswerFromAnotherEndpoint() {
      fleet.endpoint(1).behavior = Behavior.BREAK_STREAM;
      for (int i = 0; i < 10; i++) {
        FakeCall call = fleet.chat(fleet.entry(1), true);
        advanceBriefly();
        assertThat(call.complete).isTrue();
        assertThat(call.body()).startsWith("answer to {").endsWith("}");
      }
      assertThat(fleet.endpoint(1).runs).isNotEmpty();
    }

    // Guards against an answer whose start and end come from different attempts.
    @Test
    void thatBreakDoNotContinueWithDifferentAnswer() {
      fleet.endpoint(1).behavior = Behavior.BREAK_STREAM;
      fleet.endpoint(2).answerPrefix = "other ";
      int broken = 0;
      for (int i = 0; i < 10; i++) {
        FakeCall call = fleet.chat(fleet.entry(1), true);
        advanceBriefly();
        assertThat(call.complete).isNotEqualTo(call.aborted);
        assertThat(call.body()).matches("ans|other answer to \\{.*\\}");
        broken += call.aborted ? 1 : 0;
      }
      assertThat(broken).isPositive();
    }

    // Guards against an incomplete answer that ends as if it were complete.
    @Test
    void thatMissPartCloseTheCallersConnection() {
      setAllBehaviors(Behavior.SKIP_PART);
      FakeCall call = fleet.chat(fleet.entry(1), true);
      advanceBriefly();
      assertThat(call.aborted).isTrue();
      assertThat(call.complete).isFalse();
    }

    // Guards against unbounded memory use for a caller that does not read.
    @Test
    void waitForSlowCaller() {
      setAllBehaviors(Behavior.KEEP_RUNNING);
      FakeCall call = fleet.chat(fleet.entry(1), true);
      call.writable = false;
      advanceBriefly();
      fleet.endpoints.values().forEach(FakeEndpoint::finishRuns);
      assertThat(call.body()).isEmpty();
      assertThat(call.complete).isFalse();
      call.writable = true;
      call.onWritable.run();
      assertThat(call.complete).isTrue();
      assertThat(call.body()).startsWith("answer to");
    }
  }

  @Nested
  class Answers {
    // Guards against delivering the answer of one request to the caller of another.
    @Test
    void ofOtherRequestsAreDroppedAndCounted() {
      fleet.endpoint(1).behavior = Behavior.CROSS_ANSWER;
      for (int i = 0; i < 10; i++) {
        FakeCall call = fleet.chat(fleet.entry(1), false);
        advanceBriefly();
        assertThat(call.status).isEqualTo(200);
      }
      assertThat(fleet.entry(1).metrics.droppedPayloads.labelValues("mixed-up").get()).isPositive();
    }

    // Guards against engines that keep working for disconnected callers.
    @Test
    void forDisconnectedCallersAreCancelled() {
      setAllBehaviors(Behavior.KEEP_RUNNING);
      FakeCall call = fleet.chat(fleet.entry(1), true);
      advanceBriefly();
      call.closed.run();
      assertThat(fleet.endpoints.values().stream().mapToInt(e -> e.cancellations).sum())
          .isEqualTo(1);
    }

    // Guards against requests that stay open after their deadline.
    @Test
    void afterTheDeadlineAreRefusedAsUnknown() {
      setAllBehaviors(Behavior.KEEP_RUNNING);
      FakeCall call = fleet.reserve(fleet.entry(1), null);
      fleet.advanceWithReports(30_000);
      assertThat(call.status).isEqualTo(504);
      assertThat(call.run()).isEqualTo("unknown");
    }
  }

  @Nested
  class LeavingEndpoint {
    private void assertNoDispatchTo(FakeEndpoint leaving) {
      for (int i = 0; i < 20; i++) {
        FakeCall call = fleet.chat(fleet.entry(1), false);
        advanceBriefly();
        assertThat(call.status).isEqualTo(200);
      }
      assertThat(leaving.dispatches).isEmpty();
    }

    // Guards against dispatching to an endpoint that reports that it is leaving. The report must
    // suffice while the platform is down.
    @Test
    void byItsOwnReportGetsNoDispatchWhileThePlatformIsDown() {
      fleet.store.fault(FakeStore.Fault.DOWN);
      fleet.entry(1).recordLoadReport(fleet.endpoint(1), true);
      // A report that was sent before it and arrives after it must not revert it.
      fleet.sendLoadReports();
      assertNoDispatchTo(fleet.endpoint(1));
    }

    // Guards against an endpoint that gets no requests after operators cancelled its removal.
    @Test
    void thatNoLongerLeavesGetsRequestsAgain() {
      fleet.entry(1).recordLoadReport(fleet.endpoint(1), true);
      fleet.advanceWithReports(3000);
      fleet.endpoint(2).behavior = Behavior.REFUSE;
      FakeCall call = fleet.chat(fleet.entry(1), false);
      advanceBriefly();
      assertThat(call.status).isEqualTo(200);
    }

    // Guards against dispatching to an endpoint that the configuration document lists as leaving.
    @Test
    void byTheDocumentGetsNoDispatch() {
      fleet.markLeavingInDocument("endpoint-1");
      assertNoDispatchTo(fleet.endpoint(1));
    }

    // Guards against dispatching to an endpoint that stopped without reporting that it leaves.
    @Test
    void thatStopsReportingGetsNoDispatchAfterThreeSeconds() {
      fleet.time.advance(3001, TimeUnit.MILLISECONDS);
      for (FakeEndpoint endpoint : fleet.endpoints.values()) {
        if (endpoint != fleet.endpoint(1)) {
          fleet.entry(1).recordLoadReport(endpoint, false);
        }
      }
      assertNoDispatchTo(fleet.endpoint(1));
    }
  }
}
