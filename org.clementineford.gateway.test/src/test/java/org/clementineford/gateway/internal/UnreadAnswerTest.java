package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UnreadAnswerTest {
  private final VirtualTime time = new VirtualTime(0);
  private final CountDownLatch arrived = new CountDownLatch(1);
  private final CountDownLatch stalled = new CountDownLatch(1);
  private final CountDownLatch answered = new CountDownLatch(1);

  /** Answers the request "slow" while the event loop is stalled, and others at once. */
  private void answerDuringStall(
      ScriptedHttpEndpoint.Request request, ScriptedHttpEndpoint.Connection connection)
      throws IOException {
    if (request.id().equals("slow")) {
      arrived.countDown();
      Latches.await(stalled);
    }
    connection.respond(200, request.id(), "proof: p\r\n", "good");
    if (request.id().equals("slow")) {
      new LoopbackDelivery(connection.socket()).awaitUnreadBytes();
      answered.countDown();
    }
  }

  private HttpResponse<String> answerAfterStall(GatewayFixture fixture, long stallMs)
      throws Exception {
    final CompletableFuture<HttpResponse<String>> answer =
        fixture.sendAsync("GET", "/get/a", "slow", "timeout", "1000");
    Latches.await(arrived);
    fixture.whileProcessing(
        "stall",
        () -> {
          stalled.countDown();
          Latches.await(answered);
          time.advance(stallMs, TimeUnit.MILLISECONDS);
        });
    assertThat(fixture.send("GET", "/get/a", "stall").statusCode()).isEqualTo(200);
    return answer.get(5, TimeUnit.SECONDS);
  }

  @Nested
  class Timer {
    // Guards against a second run because the first answer is not read before the timer.
    @Test
    void doesNotTakeUnreadAnswerForSilence() throws Exception {
      try (ScriptedHttpEndpoint first =
              new ScriptedHttpEndpoint(UnreadAnswerTest.this::answerDuringStall);
          ScriptedHttpEndpoint second =
              new ScriptedHttpEndpoint(UnreadAnswerTest.this::answerDuringStall);
          GatewayFixture fixture = new GatewayFixture(time, first, second)) {
        assertThat(answerAfterStall(fixture, 600).body()).isEqualTo("good");
        fixture.closeIdleGateway();
        first.awaitConnectionsEnded();
        second.awaitConnectionsEnded();
        assertThat(first.requests().size() + second.requests().size()).isEqualTo(2);
      }
    }

    // Guards against a 504 in place of an answer that arrived before the deadline.
    @Test
    void ofTheDeadlineLetsUnreadAnswerPass() throws Exception {
      try (ScriptedHttpEndpoint endpoint =
              new ScriptedHttpEndpoint(UnreadAnswerTest.this::answerDuringStall);
          GatewayFixture fixture = new GatewayFixture(time, endpoint)) {
        assertThat(answerAfterStall(fixture, 1_100).statusCode()).isEqualTo(200);
      }
    }
  }
}
