package org.clementineford.standins;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.platform.ModelEngine.LoadedVersion;
import org.clementineford.transport.http.HttpResponse;
import org.junit.jupiter.api.Test;

class EngineStandInTest extends StandInTest {
  private static final String CHAT = "/v1/chat/completions";
  private static final LoadedVersion V1 = new LoadedVersion("assistant", "v1", "d1");

  private EngineStandIn engine(EngineOptions options) throws Exception {
    EngineStandIn engine = started(new EngineStandIn(context(), options));
    engine.setLoaded(V1);
    return engine;
  }

  private static String chat(String content, boolean stream) {
    return "{\"model\":\"assistant\",\"stream\":"
        + stream
        + ",\"messages\":[{\"role\":\"user\",\"content\":\""
        + content
        + "\"}]}";
  }

  private CompletableFuture<HttpResponse> ask(
      EngineStandIn engine, String id, String content, boolean stream) {
    return client.call(
        engine.address(),
        request("POST", CHAT, Map.of("X-Request-Id", id), chat(content, stream)),
        5000);
  }

  private static void awaitCount(EngineStandIn engine, String counter, long count) {
    while (engine.counters().get(counter) < count) {
      Thread.onSpinWait();
    }
  }

  // Guards against answers that cannot be distinguished from answers to other requests.
  @Test
  void streamedAndWholeAnswersAreThoseOfTheRequest() throws Exception {
    EngineStandIn engine = engine(EngineOptions.IMMEDIATE);
    String complete = text(ask(engine, "q-1", "pods", false).get(WAIT_SECONDS, TimeUnit.SECONDS));
    assertThat(complete).contains(EngineAnswers.expected("pods", 8));
    HttpResponse streamed = ask(engine, "q-2", "letters", true).get(WAIT_SECONDS, TimeUnit.SECONDS);
    String answer = text(streamed).replaceAll("(?s)data: .*?\"content\":\"|\"}.*?\n\n", "");
    assertThat(answer).startsWith(EngineAnswers.expected("letters", 8));
    assertThat(text(streamed)).endsWith("data: [DONE]\n\n");
    assertThat(streamed.headers())
        .containsEntry("X-Request-Id", "q-2")
        .containsEntry("X-Model-Version", "v1")
        .containsEntry("X-Weights-Digest", "d1");
  }

  // Guards against a switch of weights in the middle of an answer.
  @Test
  void requestsInProgressEndOnTheOldVersion() throws Exception {
    OriginStandIn origin = started(new OriginStandIn(context(), 0));
    WeightContent.Manifest v2 = origin.publish("assistant", "v2", 1000, 1000);
    EngineStandIn engine = engine(new EngineOptions(100, 10, 4, 8, true, 0));
    final CompletableFuture<HttpResponse> old = ask(engine, "q-1", "pods", true);
    awaitCount(engine, "requests", 1);
    HttpResponse loaded =
        call(engine, "POST", "/orders/load", Map.of(), order(origin, v2.digest(), 7));
    assertThat(text(loaded)).contains(v2.digest());
    final CompletableFuture<HttpResponse> next = ask(engine, "q-2", "pods", true);
    awaitCount(engine, "requests", 2);
    time.advance(1, TimeUnit.SECONDS);
    assertThat(old.get(WAIT_SECONDS, TimeUnit.SECONDS).headers())
        .containsEntry("X-Model-Version", "v1");
    assertThat(next.get(WAIT_SECONDS, TimeUnit.SECONDS).headers())
        .containsEntry("X-Weights-Digest", v2.digest());
  }

  private static String order(OriginStandIn origin, String digest, long number) {
    return "{\"model\":\"assistant\",\"version\":\"v2\",\"length\":1000,\"digest\":\""
        + digest
        + "\",\"url\":\"http://"
        + origin.address()
        + "/weights/assistant/v2/data\",\"fencingNumber\":"
        + number
        + "}";
  }

  // Guards against loading weights from a superseded order or with a wrong digest.
  @Test
  void oldNumbersAndWrongDigestsAreRefused() throws Exception {
    OriginStandIn origin = started(new OriginStandIn(context(), 0));
    WeightContent.Manifest v2 = origin.publish("assistant", "v2", 1000, 1000);
    EngineStandIn engine = engine(EngineOptions.IMMEDIATE);
    HttpResponse wrong = call(engine, "POST", "/orders/load", Map.of(), order(origin, "00", 7));
    assertThat(text(wrong)).contains("error");
    HttpResponse old =
        call(engine, "POST", "/orders/load", Map.of(), order(origin, v2.digest(), 6));
    assertThat(old.status()).isEqualTo(409);
    assertThat(engine.loaded()).isEqualTo(V1);
  }

  // Guards against requests that run on after the caller disconnected, and slots that are not
  // freed.
  @Test
  void closedConnectionsAndCancelsFreeTheirSlots() throws Exception {
    EngineStandIn engine = engine(new EngineOptions(100, 10, 4, 1, true, 0));
    final var abandoned =
        client.send(
            engine.address(),
            request("POST", CHAT, Map.of("X-Request-Id", "q-1"), chat("pods", true)),
            5000,
            new IgnoringListener());
    awaitCount(engine, "requests", 1);
    final CompletableFuture<HttpResponse> cancelled = ask(engine, "q-2", "pods", true);
    awaitCount(engine, "requests", 2);
    final CompletableFuture<HttpResponse> last = ask(engine, "q-3", "pods", true);
    awaitCount(engine, "requests", 3);
    assertThat(text(call(engine, "GET", "/load", Map.of(), "")))
        .contains("\"running\":1,\"queued\":2");
    abandoned.cancel();
    awaitCount(engine, "abandoned", 1);
    assertThat(call(engine, "POST", "/cancel/q-2", Map.of(), "").status()).isEqualTo(200);
    assertThat(cancelled)
        .failsWithin(WAIT_SECONDS, TimeUnit.SECONDS)
        .withThrowableOfType(ExecutionException.class);
    time.advance(1, TimeUnit.SECONDS);
    assertThat(last.get(WAIT_SECONDS, TimeUnit.SECONDS).status()).isEqualTo(200);
    assertThat(engine.counters().get("finished")).isEqualTo(1);
  }

  // Guards against a broken stream that is mistaken for a short answer.
  @Test
  void brokenStreamsHaveNoEnd() throws Exception {
    EngineStandIn engine = engine(EngineOptions.IMMEDIATE);
    engine.faults().setNext(StandInFaultKind.BROKEN_STREAM, 1);
    assertThat(ask(engine, "q-1", "pods", true))
        .failsWithin(WAIT_SECONDS, TimeUnit.SECONDS)
        .withThrowableOfType(ExecutionException.class);
    engine.faults().setNext(StandInFaultKind.WRONG_REQUEST_ID, 1);
    assertThat(ask(engine, "q-2", "pods", true).get(WAIT_SECONDS, TimeUnit.SECONDS).headers())
        .containsEntry("X-Request-Id", "other-q-2");
  }
}
