package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.clementineford.serving.model.Endpoint;
import org.clementineford.testing.VirtualTime;
import org.clementineford.wire.EngineReport;
import org.clementineford.wire.NamedVersion;
import org.junit.jupiter.api.Test;

class OldWeightsAfterTheBoundTest {
  private static final int BOUND_MS = 8_000;

  private final VirtualTime time = new VirtualTime(0);
  private final CountDownLatch arrived = new CountDownLatch(1);
  private final CountDownLatch ended = new CountDownLatch(1);
  private final CountDownLatch released = new CountDownLatch(1);

  /** Keeps a request in the queue of an engine. */
  private void keepWaiting(
      ScriptedHttpEndpoint.Request request, ScriptedHttpEndpoint.Connection connection)
      throws IOException {
    arrived.countDown();
    Latches.await(released);
    answer(request, connection, "id: 1\ndata: old\n\n");
  }

  private static void answer(
      ScriptedHttpEndpoint.Request request,
      ScriptedHttpEndpoint.Connection connection,
      String event)
      throws IOException {
    connection.startEventStream(request.id());
    connection.writeChunk(event);
    connection.writeChunk("");
  }

  private static Endpoint engine(ScriptedHttpEndpoint endpoint, String id, long weightVersion) {
    return new Endpoint(id, 1, "pool", endpoint.address(), "x", false, weightVersion);
  }

  /** Returns a report of an incarnation that has no weights here: version 2 was named before. */
  private static EngineReport version2Named(int ageMs) {
    return new EngineReport()
        .setIncarnation(9)
        .setNumber(1)
        .setTargetVersion(2)
        .setTargetAgeMs(ageMs);
  }

  private static void report(GatewayFixture fixture, EngineReport report) throws Exception {
    fixture.run(() -> fixture.gateway().onReport("127.0.0.1", report));
  }

  private void advance(GatewayFixture fixture, long durationMs) throws Exception {
    for (long ms = 0; ms < durationMs; ms += 50) {
      time.advance(50, TimeUnit.MILLISECONDS);
      fixture.runDueTimers();
    }
  }

  /** Returns the answer to a stream that waits at old weights, with new ones listed meanwhile. */
  private String answerToWaitingStream(EngineReport report, boolean namedBeforeItIsSent)
      throws Exception {
    try (ScriptedHttpEndpoint old = new ScriptedHttpEndpoint(this::keepWaiting);
        ScriptedHttpEndpoint next =
            new ScriptedHttpEndpoint((r, c) -> answer(r, c, "id: 1\ndata: new\n\n"));
        GatewayFixture fixture = new GatewayFixture(time)) {
      List<Endpoint> engines = new ArrayList<>(List.of(engine(old, "old", 1)));
      fixture.list(List.copyOf(engines));
      if (namedBeforeItIsSent) {
        report(fixture, report);
      }
      final CompletableFuture<HttpResponse<String>> answer =
          fixture.sendAsync("POST", "/patient/a", "r", "timeout", "6000");
      Latches.await(arrived);
      if (!namedBeforeItIsSent) {
        report(fixture, report);
      }
      engines.add(engine(next, "next", 2));
      fixture.list(List.copyOf(engines));
      advance(fixture, 1_200);
      return answer.get(5, TimeUnit.SECONDS).body();
    } finally {
      released.countDown();
    }
  }

  // Guards against a request that waits at an engine with old weights until after the bound.
  @Test
  void waitingStreamIsSentToNewWeightsBeforeTheBound() throws Exception {
    assertThat(answerToWaitingStream(version2Named(BOUND_MS - 1_200), true)).contains("data: new");
  }

  // Guards against a request that is not recalled since its version was named after it was sent.
  @Test
  void streamSentBeforeItsVersionWasNamedIsRecalledToo() throws Exception {
    assertThat(answerToWaitingStream(version2Named(BOUND_MS - 1_200), false)).contains("data: new");
  }

  // Guards against an entry VM that starts between two versions and misses the first one's bound.
  @Test
  void boundOfTheVersionBeforeTheNewestHoldsForVmsThatStartLater() throws Exception {
    EngineReport report =
        new EngineReport()
            .setIncarnation(9)
            .setNumber(1)
            .setTargetVersion(3)
            .setTargetAgeMs(0)
            .setEarlierTargets(List.of(new NamedVersion(2, BOUND_MS - 1_200)));
    assertThat(answerToWaitingStream(report, true)).contains("data: new");
  }

  // Guards against cutting a stream that the old weights have begun in time.
  @Test
  void streamThatHasBegunIsNotCut() throws Exception {
    try (ScriptedHttpEndpoint old =
            new ScriptedHttpEndpoint(
                (request, connection) -> {
                  connection.startEventStream(request.id());
                  connection.writeChunk("id: 1\ndata: old\n\n");
                  Latches.await(ended);
                  connection.writeChunk("id: 2\ndata: end\n\n");
                  connection.writeChunk("");
                });
        GatewayFixture fixture = new GatewayFixture(time)) {
      fixture.run(() -> fixture.gateway().updateEndpoints(List.of(engine(old, "old", 1))));
      report(fixture, version2Named(BOUND_MS - 1_200));
      final CompletableFuture<HttpResponse<String>> answer =
          fixture.sendAsync("POST", "/patient/a", "r", "timeout", "6000");
      fixture.awaitFirstAnswers(1);
      advance(fixture, 1_300);
      ended.countDown();
      assertThat(answer.get(5, TimeUnit.SECONDS).body()).contains("data: old", "data: end");
    }
  }
}
