package org.clementineford.entry.internal.requests;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.clementineford.entry.internal.requests.FakeEndpoint.Behavior;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Requests that an entry VM has or gets while it stops; their timeout is 30 s by default. */
class PlannedStopTest {
  private static final long DRAIN_MS = 10_000;

  private final VirtualTimeFleet fleet = new VirtualTimeFleet();
  private final VirtualTimeFleet.Entry entry = fleet.entry(1);

  private void startDrain() {
    entry.requestHandler.startDrain(
        fleet.time.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_MS));
  }

  private void advanceBriefly() {
    fleet.time.advance(50, TimeUnit.MILLISECONDS);
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
}
