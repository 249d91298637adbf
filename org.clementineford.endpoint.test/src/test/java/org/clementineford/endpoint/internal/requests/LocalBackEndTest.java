package org.clementineford.endpoint.internal.requests;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.requests.RefusalKind;
import org.clementineford.transport.http.HttpExchange;
import org.clementineford.wire.Refusal;
import org.clementineford.wire.RunState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class LocalBackEndTest {
  private EndpointFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new EndpointFixture(1);
  }

  @AfterEach
  void stop() {
    fixture.close();
  }

  // Guards against requests that wait for a back end that is down, and against a back end that
  // stays marked down after it has recovered.
  @Test
  void refusedConnectionMarksBackEndDownUntilProbeSucceeds() throws Exception {
    final RecordingExchange running = fixture.dispatch("1", dispatch -> {});
    fixture.nextCall();
    final RecordingExchange queued = fixture.dispatch("2", dispatch -> {});
    fixture.stopBackEnd();
    assertThat(running.awaitLast().getRefusal().getRun().name()).isEqualTo("UNKNOWN");
    assertThat(queued.awaitLast().getRefusal().getKind()).isEqualTo("back-end-down");
    RecordingExchange refused = fixture.dispatch("3", EndpointFixture::reservation);
    assertThat(refused.awaitLast().getRefusal().getRun().name()).isEqualTo("NOT_RUN");

    fixture.restartBackEnd();
    fixture.time.advance(1, TimeUnit.SECONDS);
    EndpointFixture.await(this::isUp);
    RecordingExchange accepted = fixture.dispatch("4", dispatch -> {});
    EndpointFixture.answer(fixture.nextCall(), "done");
    assertThat(accepted.awaitLast().isSetAnswerEnd()).isTrue();
  }

  // Guards against refusing requests because one of several engines is down.
  @Test
  void runsRequestsOnAnotherEngineIfOneIsDown() throws Exception {
    HostPort closed;
    try (ServerSocket socket = new ServerSocket(0)) {
      closed = new HostPort("127.0.0.1", socket.getLocalPort());
    }
    try (EndpointFixture two = new EndpointFixture(1, closed)) {
      for (int i = 0; i < 3; i++) {
        RecordingExchange exchange = two.dispatch("two-" + i, dispatch -> {});
        EndpointFixture.answer(two.nextCall(), "done");
        assertThat(exchange.awaitLast().isSetAnswerEnd()).isTrue();
        two.awaitIdle();
      }
    }
  }

  @Nested
  class Unresponsive {
    private static final int SLOTS = 4;
    private static final int POLLS_UNTIL_DOWN = 3;
    private static final long POLL_INTERVAL_MS = 1000;

    private EndpointFixture endpoint;

    @BeforeEach
    void start() throws Exception {
      endpoint = new EndpointFixture(SLOTS);
    }

    @AfterEach
    void stop() {
      endpoint.close();
    }

    private void failPollsUntilDown() throws Exception {
      endpoint.setPollsAnswered(false);
      for (int i = 0; i < POLLS_UNTIL_DOWN; i++) {
        endpoint.advance(POLL_INTERVAL_MS);
      }
    }

    private void giveUpNext() {
      endpoint.time.advance(1, TimeUnit.MILLISECONDS);
    }

    private void giveUpAll() {
      endpoint.time.advance(2, TimeUnit.SECONDS);
    }

    // Guards against an idempotent request that waits for a hanging engine until its own deadline,
    // although another endpoint would answer it.
    @Test
    void endsUnansweredIdempotentRunWithUnknownOutcome() throws Exception {
      final RecordingExchange exchange = endpoint.dispatch("1", dispatch -> {});
      HttpExchange call = endpoint.nextCall();
      CompletableFuture<Void> closed = new CompletableFuture<>();
      call.onClosed(() -> closed.complete(null));
      failPollsUntilDown();
      giveUpNext();
      Refusal refusal = exchange.awaitLast().getRefusal();
      assertThat(refusal.getKind()).isEqualTo(RefusalKind.BACK_END_BROKEN.wireName());
      assertThat(refusal.getRun()).isEqualTo(RunState.UNKNOWN);
      assertThat(closed).succeedsWithin(5, TimeUnit.SECONDS);
      endpoint.awaitIdle();
    }

    // Guards against more retries at once than the retry budgets of entry VMs allow.
    @Test
    void endsRunsOneAfterAnotherWhileTheEngineStaysDown() throws Exception {
      final RecordingExchange first = endpoint.dispatch("1", dispatch -> {});
      endpoint.nextCall();
      final RecordingExchange last = endpoint.dispatch("2", dispatch -> {});
      final HttpExchange call = endpoint.nextCall();
      failPollsUntilDown();
      giveUpNext();
      assertThat(first.isFinished()).isTrue();
      assertThat(last.isFinished()).isFalse();
      endpoint.setPollsAnswered(true);
      endpoint.advance(POLL_INTERVAL_MS / 2);
      endpoint.advance(POLL_INTERVAL_MS);
      assertThat(last.isFinished()).isFalse();
      EndpointFixture.answer(call, "done");
      assertThat(last.awaitLast().isSetAnswerEnd()).isTrue();
    }

    // Guards against a reservation that is given up, or made twice, because its engine is slow.
    @Test
    void keepsNonIdempotentRunForItsLateAnswer() throws Exception {
      final RecordingExchange exchange =
          endpoint.dispatch("1", dispatch -> dispatch.setIdempotent(false));
      final HttpExchange call = endpoint.nextCall();
      final RecordingExchange other = endpoint.dispatch("2", dispatch -> {});
      endpoint.nextCall();
      failPollsUntilDown();
      giveUpAll();
      other.awaitLast();
      EndpointFixture.answer(call, "lot 5");
      assertThat(exchange.awaitLast().isSetAnswerEnd()).isTrue();
      assertThat(exchange.body()).isEqualTo("lot 5");
      assertThat(endpoint.received).isEmpty();
    }

    // Guards against cutting an answer that arrives while the engine misses polls.
    @Test
    void keepsRunWhoseAnswerHasBegun() throws Exception {
      RecordingExchange exchange = endpoint.dispatch("1", dispatch -> {});
      HttpExchange call = endpoint.nextCall();
      call.start(200, EndpointFixture.engineHeaders(call));
      exchange.awaitFirst();
      final RecordingExchange other = endpoint.dispatch("2", dispatch -> {});
      endpoint.nextCall();
      failPollsUntilDown();
      giveUpAll();
      other.awaitLast();
      call.write("late".getBytes(StandardCharsets.UTF_8));
      call.finish();
      assertThat(exchange.awaitLast().isSetAnswerEnd()).isTrue();
      assertThat(exchange.body()).isEqualTo("late");
    }

    // Guards against giving up sound runs because others failed at an engine that answers polls.
    @Test
    void keepsUnansweredRunIfEngineAnswersProbe() throws Exception {
      RecordingExchange exchange = endpoint.dispatch("1", dispatch -> {});
      final HttpExchange call = endpoint.nextCall();
      for (int i = 0; i < POLLS_UNTIL_DOWN; i++) {
        RecordingExchange broken = endpoint.dispatch("broken-" + i, dispatch -> {});
        endpoint.nextCall().abort();
        broken.awaitLast();
      }
      endpoint.advance(POLL_INTERVAL_MS);
      assertThat(exchange.isFinished()).isFalse();
      EndpointFixture.answer(call, "done");
      assertThat(exchange.awaitLast().isSetAnswerEnd()).isTrue();
    }
  }

  private boolean isUp() {
    return fixture.timeline.after(0, 100).stream()
        .filter(event -> event.kind() == EventKind.BACK_END_UP)
        .anyMatch(event -> event.attributes().containsValue("assistant"));
  }
}
