package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
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

/** Requests that would last longer than the process that stops. It ends 7.3 s after the begin. */
class RequestOutlastingStopTest {
  private static final int TIMEOUT_MS = 6_000;
  private static final String WHOLE = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

  private final VirtualTime time = new VirtualTime(0);
  private final CountDownLatch released = new CountDownLatch(1);
  private final CountDownLatch longReleased = new CountDownLatch(1);
  private final List<ScriptedHttpEndpoint> engines = new ArrayList<>();
  private GatewayFixture fixture;

  @BeforeEach
  void start() throws Exception {
    engines.add(new ScriptedHttpEndpoint(this::answer));
    engines.add(new ScriptedHttpEndpoint(this::answer));
    fixture = new GatewayFixture(time, engines.toArray(ScriptedHttpEndpoint[]::new));
  }

  @AfterEach
  void stop() throws IOException {
    released.countDown();
    longReleased.countDown();
    fixture.close();
    for (ScriptedHttpEndpoint engine : engines) {
      engine.close();
    }
  }

  /** Answers, unless the ID of a request says otherwise, when the test releases it. */
  private void answer(
      ScriptedHttpEndpoint.Request request, ScriptedHttpEndpoint.Connection connection)
      throws IOException {
    if (request.id().startsWith("short")) {
      connection.respond(200, request.id(), "proof: p\r\n", "good");
      return;
    }
    if (request.id().startsWith("silent")) {
      Latches.await(released);
    }
    if (request.id().startsWith("rejected")) {
      Latches.await(released);
      connection.respond(503, request.id(), "not-run: 1\r\n", "");
      return;
    }
    connection.startEventStream(request.id());
    if (!request.headers().containsKey("resume")) {
      connection.writeChunk("id: 1\ndata: a\n\n");
      Latches.await(request.id().equals("long") ? longReleased : released);
      if (request.id().startsWith("broken")) {
        connection.reset();
        return;
      }
    }
    connection.writeChunk("id: 2\ndata: b\n\n");
    connection.writeChunk("");
  }

  private CompletableFuture<HttpResponse<String>> send(String path, String id) {
    return fixture.sendAsync("POST", path, id, "timeout", Integer.toString(TIMEOUT_MS));
  }

  private int requests() {
    return engines.stream().mapToInt(engine -> engine.requests().size()).sum();
  }

  private void awaitRequests(int count) throws Exception {
    long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    while (requests() < count && System.nanoTime() - giveUpAt < 0) {
      fixture.run(() -> {});
    }
    assertThat(requests()).isEqualTo(count);
  }

  private static void assertRefused(HttpResponse<String> answer) {
    assertThat(answer.statusCode()).isEqualTo(503);
    assertThat(answer.headers().firstValue("Retry-After")).contains("0.05");
  }

  /** Sends requests that no engine has room for, once streams take all slots. */
  private CompletableFuture<HttpResponse<String>> sendToFullEngines(String path, String id)
      throws Exception {
    for (int i = 0; i < 2 * GatewayFixture.SLOTS; i++) {
      send("/once/a", "full-" + i);
    }
    fixture.awaitFirstAnswers(2 * GatewayFixture.SLOTS);
    CompletableFuture<HttpResponse<String>> answer = send(path, id);
    fixture.awaitCounter(
        "clementineford_entry_requests_read_total", "", 2 * GatewayFixture.SLOTS + 1);
    return answer;
  }

  private void assertCounted() throws Exception {
    long read = fixture.gateway().requestsRead();
    fixture.awaitCounter("clementineford_entry_requests_total", "", read);
    assertThat(fixture.gateway().requestsEnded()).isEqualTo(read);
  }

  @Nested
  class OnKeptConnection {
    // Guards against streams that are accepted behind one that began before the stop, and cut.
    @Test
    void isRefusedBehindStreamThatBeganBeforeTheStop() throws Exception {
      try (Socket socket = new Socket("127.0.0.1", fixture.address().port())) {
        socket.setSoTimeout(5_000);
        RawCaller caller = new RawCaller(socket, TIMEOUT_MS);
        caller.send("POST", "/once/a", "first");
        fixture.awaitFirstAnswers(1);
        fixture.beginStop();
        fixture.advance(time, 3_800);
        released.countDown();
        RawAnswer first = RawAnswer.read(socket.getInputStream());
        assertThat(first.body()).isEqualTo(WHOLE);
        assertThat(first.headers().get("Connection")).isNull();
        caller.send("POST", "/patient/a", "second");
        RawAnswer second = RawAnswer.read(socket.getInputStream());
        assertThat(second.status()).isEqualTo(503);
        assertThat(second.headers())
            .containsEntry("Connection", "close")
            .containsEntry("Retry-After", "0.05");
        assertThat(socket.getInputStream().read()).isEqualTo(-1);
        assertThat(requests()).isEqualTo(1);
      }
    }

    // Guards against refusals of requests that end in time in any case.
    @Test
    void isServedIfItsDeadlineIsBeforeTheEndOfTheProcess() throws Exception {
      fixture.beginStop();
      fixture.advance(time, 5_200);
      HttpResponse<String> answer =
          fixture.send("POST", "/post/a", "short", "timeout", Integer.toString(TIMEOUT_MS));
      assertThat(answer.statusCode()).isEqualTo(200);
    }
  }

  @Nested
  class WhileCallersMayReachThisVmAgain {
    // Guards against refusals of answers that are likely to be complete in time.
    @Test
    void isServedIfItIsExpectedToEndInTime() throws Exception {
      fixture.beginStop();
      fixture.advance(time, 2_000);
      released.countDown();
      assertThat(send("/patient/a", "stream").get(5, TimeUnit.SECONDS).body()).isEqualTo(WHOLE);
    }

    // Guards against refusals by a plain service whose answers are known to be short.
    @Test
    void isServedIfPlainServiceAnsweredInTimeBefore() throws Exception {
      fixture.configure(draft -> draft.setTimeoutMs(10_000));
      assertThat(sendShort("short-1").statusCode()).isEqualTo(200);
      fixture.beginStop();
      assertThat(sendShort("short-2").statusCode()).isEqualTo(200);
    }

    private HttpResponse<String> sendShort(String id) throws Exception {
      return fixture.send("POST", "/post/a", id, "timeout", "10000");
    }

    // Guards against an estimate that ignores how long the answer may become.
    @Test
    void isRefusedIfItsLongestAnswerWouldNotEndInTime() throws Exception {
      fixture.beginStop();
      fixture.advance(time, 2_000);
      released.countDown();
      CompletableFuture<HttpResponse<String>> answer =
          fixture.sendAsync(
              "POST",
              "/patient/a",
              "long",
              "timeout",
              Integer.toString(TIMEOUT_MS),
              "tokens",
              "2000");
      assertRefused(answer.get(5, TimeUnit.SECONDS));
      assertThat(requests()).isZero();
    }

    // Guards against an estimate that ignores how long answers took.
    @Test
    void isRefusedIfRecentAnswersLastedLonger() throws Exception {
      final CompletableFuture<HttpResponse<String>> before = send("/once/a", "before");
      fixture.awaitFirstAnswers(1);
      fixture.advance(time, 3_900);
      released.countDown();
      before.get(5, TimeUnit.SECONDS);
      fixture.beginStop();
      fixture.advance(time, 2_500);
      assertRefused(send("/patient/a", "stream").get(5, TimeUnit.SECONDS));
      assertThat(requests()).isEqualTo(1);
    }
  }

  @Nested
  class WaitingForAnEngine {
    // Guards against requests that are sent from the queue when no time is left for their answers.
    @Test
    void isRefusedOnceItsCallerCanGoElsewhere() throws Exception {
      fixture.beginStop();
      fixture.advance(time, 1_500);
      CompletableFuture<HttpResponse<String>> waiting = sendToFullEngines("/patient/a", "waiting");
      fixture.advance(time, 1_000);
      assertThat(waiting).isNotDone();
      fixture.advance(time, 200);
      assertRefused(waiting.get(5, TimeUnit.SECONDS));
      assertThat(requests()).isEqualTo(2 * GatewayFixture.SLOTS);
    }
  }

  @Nested
  class FailedAttempt {
    // Guards against a second attempt that is cut with the process.
    @Test
    void isNotFollowedByAnotherOneAfterRejection() throws Exception {
      final CompletableFuture<HttpResponse<String>> answer = sendLate("/patient/a", "rejected");
      awaitRequests(1);
      fixture.advance(time, 800);
      released.countDown();
      assertRefused(answer.get(5, TimeUnit.SECONDS));
      assertThat(requests()).isEqualTo(1);
    }

    // Guards against a stream that is broken off though another engine can end it in time.
    @Test
    void isFollowedByContinuationThatIsExpectedToEndInTime() throws Exception {
      final CompletableFuture<HttpResponse<String>> answer = sendLate("/patient/a", "broken");
      fixture.awaitFirstAnswers(1);
      fixture.advance(time, 800);
      released.countDown();
      assertThat(answer.get(5, TimeUnit.SECONDS).body()).isEqualTo(WHOLE);
      assertThat(requests()).isEqualTo(2);
    }

    // Guards against a continuation that is cut with the process.
    @Test
    void endsStreamAtOnceIfRecentAnswersLastedLonger() throws Exception {
      final CompletableFuture<HttpResponse<String>> before = send("/once/a", "long");
      fixture.awaitFirstAnswers(1);
      fixture.advance(time, 3_900);
      longReleased.countDown();
      before.get(5, TimeUnit.SECONDS);
      final CompletableFuture<HttpResponse<String>> answer = sendLate("/patient/a", "broken");
      fixture.awaitFirstAnswers(2);
      fixture.advance(time, 800);
      released.countDown();
      assertThatThrownBy(() -> answer.get(5, TimeUnit.SECONDS))
          .hasRootCauseInstanceOf(EOFException.class);
      assertThat(requests()).isEqualTo(2);
      fixture.awaitCounter("clementineford_entry_requests_total", "CUT_BY_STOP", 1);
    }

    // Guards against a move from a silent engine, which may be sound, to one that has no time.
    @Test
    void goesOnIfItIsSilent() throws Exception {
      final CompletableFuture<HttpResponse<String>> answer = sendLate("/patient/a", "stream");
      fixture.awaitFirstAnswers(1);
      fixture.advance(time, 1_800);
      assertThat(requests()).isEqualTo(1);
      released.countDown();
      assertThat(answer.get(5, TimeUnit.SECONDS).body()).isEqualTo(WHOLE);
    }

    /** Sends a request that is accepted, and whose deadline is behind the end of the process. */
    private CompletableFuture<HttpResponse<String>> sendLate(String path, String id)
        throws Exception {
      fixture.beginStop();
      fixture.advance(time, 2_000);
      return send(path, id);
    }
  }

  @Nested
  class AtTheEndOfTheStop {
    // Guards against requests that end with the process, without a line or an answer.
    @Test
    void streamIsClosedWithoutItsEndAndCounted() throws Exception {
      try (Socket socket = new Socket("127.0.0.1", fixture.address().port())) {
        socket.setSoTimeout(5_000);
        new RawCaller(socket, TIMEOUT_MS).send("POST", "/patient/a", "stream");
        fixture.awaitFirstAnswers(1);
        fixture.beginStop();
        fixture.endStop();
        String text = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertThat(text).contains("data: a").doesNotContain("\r\n0\r\n");
        assertCounted();
        fixture.awaitCounter("clementineford_entry_requests_total", "CUT_BY_STOP", 1);
      }
    }

    @Test
    void requestThatMayHaveRunIsToldSo() throws Exception {
      final CompletableFuture<HttpResponse<String>> answer = send("/post/a", "silent");
      awaitRequests(1);
      fixture.beginStop();
      fixture.endStop();
      assertThat(answer.get(5, TimeUnit.SECONDS).statusCode()).isEqualTo(502);
      assertCounted();
    }

    @Test
    void requestThatWasNotSentIsRefused() throws Exception {
      CompletableFuture<HttpResponse<String>> waiting = sendToFullEngines("/patient/a", "waiting");
      fixture.beginStop();
      fixture.endStop();
      assertRefused(waiting.get(5, TimeUnit.SECONDS));
      assertCounted();
    }
  }
}
