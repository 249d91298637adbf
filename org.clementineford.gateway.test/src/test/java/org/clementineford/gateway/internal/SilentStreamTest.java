package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.clementineford.testing.VirtualTime;
import org.clementineford.wire.EngineReport;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SilentStreamTest {
  private final VirtualTime time = new VirtualTime(0);
  private final CountDownLatch arrived = new CountDownLatch(1);
  private final CountDownLatch released = new CountDownLatch(1);
  private long reports;

  private void answerWhenReleased(
      ScriptedHttpEndpoint.Request request, ScriptedHttpEndpoint.Connection connection)
      throws IOException {
    arrived.countDown();
    Latches.await(released);
    connection.startEventStream(request.id());
    connection.writeChunk("id: 1\ndata: slow\n\n");
    connection.writeChunk("");
  }

  private void report(GatewayFixture fixture) throws Exception {
    EngineReport report =
        new EngineReport().setWeightVersion(1).setIncarnation(1).setNumber(++reports).setPace(1);
    fixture.run(() -> fixture.gateway().onReport("127.0.0.1", report));
  }

  /** Advances the time in steps, with a report of the engine in each if it is to be heard. */
  private void advance(GatewayFixture fixture, long durationMs, boolean heard) throws Exception {
    for (long ms = 0; ms < durationMs; ms += 100) {
      if (heard) {
        report(fixture);
      }
      time.advance(100, TimeUnit.MILLISECONDS);
      fixture.runDueTimers();
    }
  }

  private HttpResponse<String> answerAfter(long silenceMs, boolean heard) throws Exception {
    try (ScriptedHttpEndpoint engine =
            new ScriptedHttpEndpoint(SilentStreamTest.this::answerWhenReleased);
        GatewayFixture fixture = new GatewayFixture(time, engine)) {
      report(fixture);
      final CompletableFuture<HttpResponse<String>> answer =
          fixture.sendAsync("POST", "/patient/a", "r", "timeout", "6000");
      Latches.await(arrived);
      advance(fixture, silenceMs, heard);
      released.countDown();
      return answer.get(5, TimeUnit.SECONDS);
    }
  }

  @Nested
  class FirstEvent {
    // Guards against cutting a sound stream, whose prompt another engine then reads again.
    @Test
    void isAwaitedWhileTheEngineIsHeard() throws Exception {
      assertThat(answerAfter(2_500, true).body()).contains("data: slow");
    }

    // Guards against waiting for an engine that is cut off.
    @Test
    void isSoonRequestedElsewhereIfTheEngineIsNotHeard() throws Exception {
      assertThat(answerAfter(2_500, false).statusCode()).isEqualTo(502);
    }

    // Guards against waiting until the caller has left.
    @Test
    void isNotAwaitedForEver() throws Exception {
      assertThat(answerAfter(3_500, true).statusCode()).isEqualTo(502);
    }
  }
}
