package org.clementineford.entry.internal.requests;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.clementineford.entry.internal.requests.FakeEndpoint.Behavior;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Requests that an entry VM has or gets while it stops; their timeout is 30 s by default. */
class PlannedStopTest {
  private static final long DRAIN_MS = 10_000;

  private final VirtualTimeFleet fleet = new VirtualTimeFleet();
  private final VirtualTimeFleet.Entry entry = fleet.entry(1);
  private final Logger logger = (Logger) LoggerFactory.getLogger(RequestEvents.class);
  private final ListAppender<ILoggingEvent> lines = new ListAppender<>();

  @BeforeEach
  void collectLines() {
    lines.start();
    logger.addAppender(lines);
  }

  @AfterEach
  void detach() {
    logger.detachAppender(lines);
  }

  private void startDrain() {
    entry.requestHandler.startDrain(
        fleet.time.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_MS));
  }

  private void advanceBriefly() {
    fleet.time.advance(50, TimeUnit.MILLISECONDS);
  }

  private void setAllBehaviors(Behavior behavior) {
    fleet.endpoints.values().forEach(endpoint -> endpoint.behavior = behavior);
  }

  private int dispatches() {
    return fleet.endpoints.values().stream().mapToInt(e -> e.dispatches.size()).sum();
  }

  private FakeCall chat(long timeoutMs) {
    Map<String, String> headers = new HashMap<>();
    headers.put("Authorization", "Bearer " + VirtualTimeFleet.TOKEN);
    headers.put("Clementineford-Timeout-Ms", Long.toString(timeoutMs));
    return entry.call("POST", "/v1/chat/completions", headers, "{\"model\":\"assistant\"}");
  }

  private static void assertRefused(FakeCall call, int status, String kind, String run) {
    assertThat(call.status).isEqualTo(status);
    assertThat(call.run()).isEqualTo(run);
    assertThat(call.body()).contains("\"" + kind + "\"");
    assertThat(call.headers).containsEntry("Connection", "close");
  }

  @Nested
  class RequestDuringTheDrain {
    // Guards against accepting a request that the end of the process cuts off.
    @Test
    void isRefusedIfItMayOutliveTheProcess() {
      startDrain();
      FakeCall call = chat(DRAIN_MS + 1);
      assertRefused(call, 503, "entry-leaving", "not-run");
      advanceBriefly();
      assertThat(dispatches()).isZero();
    }

    // Guards against turning away requests that surely end in time.
    @Test
    void isServedIfItSurelyEnds() {
      startDrain();
      FakeCall call = chat(DRAIN_MS);
      advanceBriefly();
      assertThat(call.status).isEqualTo(200);
    }

    // Guards against a retry that begins during the drain and outlives the process.
    @Test
    void isNotRetriedIfItMayOutliveTheProcess() {
      fleet.isolateEndpoint().behavior = Behavior.REFUSE;
      final FakeCall call = chat(DRAIN_MS + 1);
      startDrain();
      fleet.endpoint(2).reachable = true;
      advanceBriefly();
      assertRefused(call, 503, "entry-leaving", "not-run");
      assertThat(fleet.endpoint(2).dispatches).isEmpty();
    }

    // Guards against ending a request as unknown that another endpoint may still answer.
    @Test
    void isRetriedIfItMayHaveRun() {
      fleet.isolateEndpoint().behavior = Behavior.LOSE_ANSWER;
      final FakeCall call = chat(DRAIN_MS + 1);
      startDrain();
      fleet.endpoint(2).reachable = true;
      advanceBriefly();
      assertThat(call.status).isEqualTo(200);
    }

    // Guards against a first attempt that outlives the process because its claim was written late.
    @Test
    void isNotDispatchedAfterItsClaimIfItMayOutliveTheProcess() {
      fleet.store.fault(FakeStore.Fault.HOLD_REPLIES);
      final FakeCall call = fleet.reserve(entry, "k");
      startDrain();
      fleet.store.fault(FakeStore.Fault.NONE);
      fleet.store.releaseReplies();
      advanceBriefly();
      assertRefused(call, 503, "entry-leaving", "not-run");
      FakeCall resent = fleet.reserve(fleet.entry(2), "k");
      advanceBriefly();
      assertThat(resent.status).isEqualTo(200);
      assertThat(fleet.runs("k")).isOne();
    }
  }

  @Nested
  class RequestLeftAtTheEnd {
    private void assertNamedByOneLine(FakeCall call) {
      String id = call.headers.get("Clementineford-Request");
      assertThat(lines.list)
          .filteredOn(
              line -> line.getKeyValuePairs().stream().anyMatch(pair -> id.equals(pair.value)))
          .hasSize(1);
    }

    // Guards against a connection that closes without saying that nothing was run.
    @Test
    void isRefusedAsNotRunIfNoEndpointGotIt() {
      fleet.endpoints.values().forEach(endpoint -> endpoint.reachable = false);
      FakeCall call = chat(1000);
      entry.requestHandler.endRequests();
      assertRefused(call, 503, "entry-leaving", "not-run");
      assertNamedByOneLine(call);
    }

    // Guards against a connection that closes without an answer after a dispatch.
    @Test
    void isAnsweredAsUnknownIfAnEndpointGotIt() {
      setAllBehaviors(Behavior.KEEP_RUNNING);
      final FakeCall call = chat(30_000);
      final FakeCall reservation = fleet.reserve(entry, "k");
      advanceBriefly();
      entry.requestHandler.endRequests();
      assertRefused(call, 502, "entry-stopped", "unknown");
      assertRefused(reservation, 502, "entry-stopped", "unknown");
      assertNamedByOneLine(call);
      assertNamedByOneLine(reservation);
    }

    // Guards against a resend that finds the run of a stopped entry VM cancelled.
    @Test
    void leavesTheRunOfItsKeyToResends() {
      setAllBehaviors(Behavior.KEEP_RUNNING);
      fleet.reserve(entry, "k");
      advanceBriefly();
      entry.requestHandler.endRequests();
      final FakeCall resent = fleet.reserve(fleet.entry(2), "k");
      advanceBriefly();
      fleet.endpoints.values().forEach(FakeEndpoint::finishRuns);
      advanceBriefly();
      assertThat(resent.status).isEqualTo(200);
      assertThat(fleet.runs("k")).isOne();
    }

    // Guards against a cut stream that looks complete or that no line names.
    @Test
    void isClosedWithoutItsLastChunkIfItsStreamHasStarted() {
      setAllBehaviors(Behavior.STALL_STREAM);
      FakeCall call = fleet.chat(entry, true);
      advanceBriefly();
      assertThat(call.status).isEqualTo(200);
      entry.requestHandler.endRequests();
      assertThat(call.aborted).isTrue();
      assertThat(call.complete).isFalse();
      assertNamedByOneLine(call);
    }

    // Guards against accepting requests after the last ones were ended.
    @Test
    void isNotFollowedByOthers() {
      entry.requestHandler.endRequests();
      assertRefused(chat(1000), 503, "entry-leaving", "not-run");
    }
  }
}
