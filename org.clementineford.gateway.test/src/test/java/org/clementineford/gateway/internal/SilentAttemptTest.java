package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Attempts whose endpoint is silent and not heard, and goes on or does not. */
class SilentAttemptTest {
  private static final long SILENCE_MS = 1_800;
  private static final String WHOLE = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

  private final VirtualTime time = new VirtualTime(0);
  private final CountDownLatch arrived = new CountDownLatch(1);
  private final CountDownLatch released = new CountDownLatch(1);
  private final CountDownLatch ended = new CountDownLatch(1);
  private final List<ScriptedHttpEndpoint> engines = new ArrayList<>();
  private GatewayFixture fixture;
  private volatile Socket silentSocket;

  @BeforeEach
  void start() throws Exception {
    engines.add(new ScriptedHttpEndpoint(this::answer));
    engines.add(new ScriptedHttpEndpoint(this::answer));
    fixture = new GatewayFixture(time, engines.toArray(ScriptedHttpEndpoint[]::new));
  }

  @AfterEach
  void stop() throws IOException {
    released.countDown();
    ended.countDown();
    fixture.close();
    for (ScriptedHttpEndpoint engine : engines) {
      engine.close();
    }
  }

  /** Is silent until it is released, streams after the first event; rejects what says so. */
  private void answer(
      ScriptedHttpEndpoint.Request request, ScriptedHttpEndpoint.Connection connection)
      throws IOException {
    if (request.headers().containsKey("reject")) {
      connection.respond(503, request.id(), "not-run: 1\r\n", "");
      return;
    }
    if (request.line().startsWith("GET")) {
      arrived.countDown();
      Latches.await(released);
      connection.respond(200, request.id(), "proof: p\r\n", "good");
      return;
    }
    connection.startEventStream(request.id());
    if (!request.headers().containsKey("resume")) {
      silentSocket = connection.socket();
      connection.writeChunk("id: 1\ndata: a\n\n");
      Latches.await(released);
    }
    connection.writeChunk("id: 2\ndata: b\n\n");
    if (request.headers().containsKey("hold") && !request.headers().containsKey("resume")) {
      Latches.await(ended);
    }
    connection.writeChunk("");
  }

  private CompletableFuture<HttpResponse<String>> startStream(
      String path, String id, String... headers) throws Exception {
    List<String> all = new ArrayList<>(List.of(headers));
    all.addAll(List.of("timeout", "6000"));
    CompletableFuture<HttpResponse<String>> answer =
        fixture.sendAsync("POST", path, id, all.toArray(String[]::new));
    fixture.awaitFirstAnswers(1);
    return answer;
  }

  private void assertWholeAfterSilence(CompletableFuture<HttpResponse<String>> answer)
      throws Exception {
    fixture.advance(time, SILENCE_MS);
    released.countDown();
    assertThat(answer.get(5, TimeUnit.SECONDS).body()).isEqualTo(WHOLE);
  }

  private int requests() {
    return engines.stream().mapToInt(engine -> engine.requests().size()).sum();
  }

  @Nested
  class StartedStreamIsNotCut {
    // Guards against a cut because the silence is noticed before the number of attempts is.
    @Test
    void whenAttemptsAreUsedUp() throws Exception {
      assertWholeAfterSilence(startStream("/once/a", "s"));
    }

    @Test
    void whenTheRetryBudgetIsEmpty() throws Exception {
      final CompletableFuture<HttpResponse<String>> answer = startStream("/patient/a", "s");
      for (int i = 0; i < 150; i++) {
        fixture.send("POST", "/patient/a", "r" + i, "reject", "1");
      }
      final int before = requests();
      assertWholeAfterSilence(answer);
      assertThat(requests()).isEqualTo(before);
    }

    @Test
    void whenTheRequestIsSuspectedOfCrashes() throws Exception {
      CompletableFuture<HttpResponse<String>> answer = startStream("/patient/a", "s", "parts", "p");
      fixture.suspect("p");
      assertWholeAfterSilence(answer);
    }

    @Test
    void whenTheKeyWasRemoved() throws Exception {
      CompletableFuture<HttpResponse<String>> answer =
          startStream("/patient-keyed/a", "s", "key", "secret");
      fixture.removeKeys();
      assertWholeAfterSilence(answer);
      assertThat(requests()).isEqualTo(1);
    }

    @Test
    void whenTheServiceIsNoLongerConfigured() throws Exception {
      CompletableFuture<HttpResponse<String>> answer = startStream("/patient/a", "s");
      fixture.removeEngineService();
      assertWholeAfterSilence(answer);
      assertThat(requests()).isEqualTo(1);
    }

    @Test
    void whenNoOtherEngineIsListed() throws Exception {
      fixture.list(engines.subList(0, 1), 1);
      assertWholeAfterSilence(startStream("/patient/a", "s"));
    }

    @Test
    void whenAllOtherEnginesAreFull() throws Exception {
      List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
      for (int i = 0; i < 2 * GatewayFixture.SLOTS; i++) {
        answers.add(fixture.sendAsync("POST", "/patient/a", "s" + i, "timeout", "6000"));
      }
      fixture.awaitFirstAnswers(answers.size());
      fixture.advance(time, SILENCE_MS);
      released.countDown();
      for (CompletableFuture<HttpResponse<String>> answer : answers) {
        assertThat(answer.get(5, TimeUnit.SECONDS).body()).isEqualTo(WHOLE);
      }
      assertThat(requests()).isEqualTo(answers.size());
    }
  }

  @Nested
  class OtherAttempt {
    // Guards against callers that wait for an engine that is cut off.
    @Test
    void beginsWhereAnEngineHasRoom() throws Exception {
      CompletableFuture<HttpResponse<String>> answer = startStream("/patient/a", "s");
      fixture.advance(time, SILENCE_MS);
      assertThat(answer.get(5, TimeUnit.SECONDS).body()).isEqualTo(WHOLE);
      assertThat(requests()).isEqualTo(2);
    }

    /** Lets the silent engine send an event, which arrives before the next poll of the loop. */
    private void sendEventOfSilentEngine() {
      released.countDown();
      try {
        new LoopbackDelivery(silentSocket).awaitUnreadBytes();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    // Guards against a stream that is joined from pieces of two runs.
    @Test
    void isWithdrawnIfTheSilentEngineSendsAnEvent() throws Exception {
      fixture.protocol().whileEncodingAgain("s", this::sendEventOfSilentEngine);
      final CompletableFuture<HttpResponse<String>> answer =
          startStream("/patient/a", "s", "hold", "1");
      fixture.advance(time, 1_100);
      assertThat(released.getCount()).as("another attempt began").isZero();
      ended.countDown();
      assertThat(answer.get(5, TimeUnit.SECONDS).body()).isEqualTo(WHOLE);
      assertThat(requests()).isEqualTo(1);
    }

    // Guards against silent engines that multiply the load by more than the retry budget.
    @Test
    void isChargedToTheRetryBudget() throws Exception {
      // 93 retries, when 0.8 * (0.2 * (93 + 4) + 100) = 95.5 are allowed, leave two.
      for (int i = 0; i < 93; i++) {
        fixture.send("POST", "/patient/a", "r" + i, "reject", "1");
      }
      assertThat(requests()).isEqualTo(2 * 93);
      fixture.list(engines.subList(0, 1), 2);
      List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
      for (int i = 0; i < GatewayFixture.SLOTS; i++) {
        answers.add(fixture.sendAsync("POST", "/patient/a", "s" + i, "timeout", "6000"));
      }
      fixture.awaitFirstAnswers(answers.size());
      fixture.list(engines, 2);
      final int before = engines.get(1).requests().size();
      fixture.advance(time, SILENCE_MS);
      released.countDown();
      for (CompletableFuture<HttpResponse<String>> answer : answers) {
        assertThat(answer.get(5, TimeUnit.SECONDS).body()).isEqualTo(WHOLE);
      }
      assertThat(engines.get(1).requests()).hasSize(before + 2);
    }

    // Guards against the loss of a sound stream for an engine that cannot be reached.
    @Test
    void thatCannotConnectEndsNoStream() throws Exception {
      CompletableFuture<HttpResponse<String>> answer = startStream("/patient/a", "s");
      for (ScriptedHttpEndpoint engine : engines) {
        if (engine.requests().isEmpty()) {
          engine.close();
        }
      }
      assertWholeAfterSilence(answer);
    }
  }

  @Nested
  class IdempotentRequest {
    private CompletableFuture<HttpResponse<String>> send() throws Exception {
      fixture.list(engines.subList(0, 1), 1);
      CompletableFuture<HttpResponse<String>> answer =
          fixture.sendAsync("GET", "/get/a", "i", "timeout", "2000");
      Latches.await(arrived);
      fixture.runDueTimers();
      return answer;
    }

    // Guards against a failure in place of the answer of a sound endpoint that was silent.
    @Test
    void isAnsweredAfterSilence() throws Exception {
      CompletableFuture<HttpResponse<String>> answer = send();
      fixture.advance(time, SILENCE_MS);
      released.countDown();
      assertThat(answer.get(5, TimeUnit.SECONDS).body()).isEqualTo("good");
    }

    @Test
    void endsAtItsDeadlineIfTheEndpointStaysSilent() throws Exception {
      CompletableFuture<HttpResponse<String>> answer = send();
      fixture.advance(time, 2_100);
      assertThat(answer.get(5, TimeUnit.SECONDS).statusCode()).isEqualTo(504);
    }
  }
}
