package org.clementineford.endpoint.internal.requests;

import static org.assertj.core.api.Assertions.assertThat;

import org.clementineford.requests.RunState;
import org.clementineford.transport.http.HttpExchange;
import org.clementineford.wire.Refusal;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Runs that an endpoint has when it begins to stop, and when its time is over. */
@Timeout(30)
class StoppingEndpointTest {
  private static final long DRAIN_MS = 10_000;

  private EndpointFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new EndpointFixture(1);
  }

  @AfterEach
  void stop() {
    fixture.close();
  }

  private RecordingExchange dispatch(String id, long timeoutMs) {
    return fixture.dispatch(id, dispatch -> dispatch.setTimeoutMs(timeoutMs));
  }

  private static void assertRefused(RecordingExchange exchange, String kind, RunState run)
      throws Exception {
    Refusal refusal = exchange.awaitLast().getRefusal();
    assertThat(refusal.getKind()).isEqualTo(kind);
    assertThat(refusal.getRun().name()).isEqualTo(run.name());
  }

  @Nested
  class QueuedRun {
    // Guards against a run that waits in the queue until the end of the process cuts it off.
    @Test
    void isRefusedAsNotRunIfItMayOutliveTheProcess() throws Exception {
      dispatch("1", 30_000);
      final HttpExchange first = fixture.nextCall();
      final RecordingExchange late = dispatch("2", DRAIN_MS + 1);
      final RecordingExchange inTime = dispatch("3", DRAIN_MS);
      fixture.drain(DRAIN_MS);
      assertRefused(late, "leaving", RunState.NOT_RUN);
      EndpointFixture.answer(first, "one");
      EndpointFixture.answer(fixture.nextCall(), "three");
      inTime.awaitLast();
      assertThat(inTime.body()).isEqualTo("three");
    }
  }
}
