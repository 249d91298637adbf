package org.clementineford.endpoint.internal.requests;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.zip.CRC32C;
import org.clementineford.configuration.ClientAccount;
import org.clementineford.configuration.ConfigurationSnapshot;
import org.clementineford.configuration.Policies;
import org.clementineford.requests.RefusalKind;
import org.clementineford.requests.RunState;
import org.clementineford.requests.admission.FairQueueLimits;
import org.clementineford.transport.http.HttpExchange;
import org.clementineford.wire.AnswerEnd;
import org.clementineford.wire.LoadReport;
import org.clementineford.wire.Payload;
import org.clementineford.wire.Refusal;
import org.clementineford.wire.RunPhase;
import org.clementineford.wire.RunReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class DispatchTest {
  private static final int SLOTS = 2;

  private EndpointFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new EndpointFixture(SLOTS);
  }

  @AfterEach
  void stop() {
    fixture.close();
  }

  private static void assertRefused(RecordingExchange exchange, RefusalKind kind, RunState run)
      throws Exception {
    Refusal refusal = exchange.awaitLast().getRefusal();
    assertThat(refusal.getKind()).isEqualTo(kind.wireName());
    assertThat(refusal.getRun().name()).isEqualTo(run.name());
  }

  @Nested
  class Streams {
    // Guards against lost, reordered or miscounted parts of an answer, and against a wrong cost.
    @Test
    void sendsOffsetsLengthChecksumAndActualCost() throws Exception {
      RecordingExchange exchange = fixture.dispatch("1", dispatch -> {});
      EndpointFixture.answer(fixture.nextCall(), "one ", "{\"total_tokens\": 42}");
      final AnswerEnd end = exchange.awaitLast().getAnswerEnd();
      byte[] body = exchange.body().getBytes(StandardCharsets.UTF_8);
      assertThat(exchange.body()).isEqualTo("one {\"total_tokens\": 42}");
      CRC32C checksum = new CRC32C();
      checksum.update(body);
      assertThat(end.getLength()).isEqualTo(body.length);
      assertThat(end.getCrc32c()).isEqualTo(checksum.getValue());
      assertThat(end.getActualCostTokens()).isEqualTo(42);
      assertThat(exchange.payloads().get(0).getAnswerHead().getWeightsDigest()).isEqualTo("d1");
    }

    // Guards against a truncated answer that looks complete.
    @Test
    void refusesAnswerThatTheEngineAborts() throws Exception {
      RecordingExchange exchange = fixture.dispatch("1", dispatch -> {});
      HttpExchange call = fixture.nextCall();
      call.start(200, EndpointFixture.engineHeaders(call));
      call.write("one".getBytes(StandardCharsets.UTF_8));
      exchange.awaitFirst();
      call.abort();
      assertRefused(exchange, RefusalKind.BACK_END_BROKEN, RunState.RAN);
    }

    // Guards against reporting a request as not run although the back end may have run it.
    @Test
    void reportsUnknownOutcomeIfAnswerBreaksBeforeItsHead() throws Exception {
      RecordingExchange exchange = fixture.dispatch("1", EndpointFixture::reservation);
      fixture.nextCall().abort();
      assertRefused(exchange, RefusalKind.BACK_END_BROKEN, RunState.UNKNOWN);
    }

    // Guards against forwarding the answer to another request.
    @Test
    void refusesAnswerWithAnotherRequestId() throws Exception {
      RecordingExchange exchange = fixture.dispatch("1", dispatch -> {});
      fixture.nextCall().respond(200, Map.of(Run.REQUEST_ID_HEADER, "request-2"), new byte[9]);
      assertRefused(exchange, RefusalKind.WRONG_REQUEST_ID, RunState.UNKNOWN);
      assertThat(exchange.payloads()).hasSize(1);
    }

    // Guards against answers from partial or mixed weights.
    @Test
    void refusesAnswerFromWeightsThatWereNotActivated() throws Exception {
      for (int i = 0; i < 3; i++) {
        RecordingExchange exchange = fixture.dispatch("mixed-" + i, dispatch -> {});
        HttpExchange call = fixture.nextCall();
        Map<String, String> headers = new HashMap<>(EndpointFixture.engineHeaders(call));
        headers.put(EngineHeaders.WEIGHTS_DIGEST, "d2");
        call.respond(200, headers, new byte[9]);
        assertRefused(exchange, RefusalKind.MIXED_WEIGHTS, RunState.RAN);
        assertThat(exchange.payloads()).hasSize(1);
      }
      fixture.dispatch("1", dispatch -> {});
      EndpointFixture.answer(fixture.nextCall(), "the engine was not marked down");
    }

    // Guards against unbounded buffering of an answer whose receiver is slow.
    @Test
    void pausesAnswerForSlowReceiver() throws Exception {
      RecordingExchange exchange = fixture.dispatch("1", dispatch -> {});
      HttpExchange call = fixture.nextCall();
      call.start(200, EndpointFixture.engineHeaders(call));
      exchange.awaitFirst();
      exchange.setWritable(false);
      byte[] part = new byte[1 << 20];
      for (int i = 0; i < 16; i++) {
        call.write(part);
      }
      call.finish();
      for (int i = 0; i < 20; i++) {
        RecordingExchange other = fixture.dispatch("other-" + i, dispatch -> {});
        EndpointFixture.answer(fixture.nextCall(), "done");
        other.awaitLast();
      }
      assertThat(exchange.isFinished()).isFalse();
      exchange.setWritable(true);
      assertThat(exchange.awaitLast().getAnswerEnd().getLength()).isEqualTo(16L << 20);
    }
  }

  @Nested
  class Attempts {
    // Guards against running a delayed dispatch after its revocation was confirmed.
    @Test
    void doesNotRunRevokedAttempt() throws Exception {
      RunReport report = fixture.reportOrRevoke("1", false).awaitLast().getRunReport();
      assertThat(report.getPhase()).isEqualTo(RunPhase.REVOKED);
      assertRefused(
          fixture.dispatch("1", EndpointFixture::reservation),
          RefusalKind.REVOKED,
          RunState.NOT_RUN);
      assertThat(fixture.received).isEmpty();
    }

    // Guards against running an attempt twice if its dispatch arrives on two connections.
    @Test
    void runsDuplicateAttemptOnceAndAnswersBoth() throws Exception {
      RecordingExchange first = fixture.dispatch("1", EndpointFixture::reservation);
      RecordingExchange second = fixture.dispatch("1", EndpointFixture::reservation);
      EndpointFixture.answer(fixture.nextCall(), "lot 5");
      first.awaitLast();
      second.awaitLast();
      RecordingExchange third = fixture.dispatch("1", EndpointFixture::reservation);
      third.awaitLast();
      assertThat(first.body()).isEqualTo("lot 5").isEqualTo(second.body()).isEqualTo(third.body());
      assertThat(fixture.received).isEmpty();
    }

    // Guards against losing the outcome of a reservation because its caller disconnected.
    @Test
    void continuesNonIdempotentAttemptAfterCancel() throws Exception {
      RecordingExchange exchange = fixture.dispatch("1", EndpointFixture::reservation);
      HttpExchange call = fixture.nextCall();
      exchange.cancel();
      RecordingExchange waiting = fixture.reportOrRevoke("1", true);
      assertThat(waiting.isFinished()).isFalse();
      EndpointFixture.answer(call, "lot 5");
      RunReport report = waiting.awaitLast().getRunReport();
      assertThat(report.getPhase()).isEqualTo(RunPhase.FINISHED);
      assertThat(new String(report.getBody(), StandardCharsets.UTF_8)).isEqualTo("lot 5");
    }

    // Guards against an engine that continues to work for a caller that has disconnected.
    @Test
    void endsIdempotentAttemptOnCancel() throws Exception {
      RecordingExchange exchange = fixture.dispatch("1", dispatch -> {});
      HttpExchange call = fixture.nextCall();
      CompletableFuture<Void> closed = new CompletableFuture<>();
      call.onClosed(() -> closed.complete(null));
      exchange.cancel();
      assertThat(closed).succeedsWithin(5, TimeUnit.SECONDS);
    }
  }

  @Nested
  class Slots {
    // Guards against a slot that is released twice, or never, if a cancellation races with the end
    // of the answer.
    @Test
    void releasesSlotOnceWhenCancelRacesWithEnd() throws Exception {
      ExecutorService other = Executors.newSingleThreadExecutor();
      for (int i = 0; i < 200; i++) {
        RecordingExchange exchange = fixture.dispatch("race-" + i, dispatch -> {});
        HttpExchange call = fixture.nextCall();
        CyclicBarrier barrier = new CyclicBarrier(2);
        int when = i % 3;
        Future<?> cancelled =
            other.submit(
                () -> {
                  barrier.await();
                  if (when == 1) {
                    exchange.awaitFirst();
                  } else if (when == 2) {
                    exchange.awaitLast();
                  }
                  exchange.cancel();
                  return null;
                });
        barrier.await();
        EndpointFixture.answer(call, "done");
        cancelled.get(5, TimeUnit.SECONDS);
        fixture.awaitIdle();
        LoadReport report =
            fixture.send(Payload.loadReport(new LoadReport())).awaitLast().getLoadReport();
        assertThat(report.getBackEnds().get(0).getRunning()).isZero();
      }
      other.shutdown();
    }
  }

  @Nested
  class Queues {
    // Guards against an unbounded queue, and against one whose limit is shared by all accounts.
    @Test
    void refusesRequestOfAccountWhoseQueueIsFull() throws Exception {
      int limit = FairQueueLimits.DEFAULT.queuedPerAccount();
      for (int i = 0; i < SLOTS + limit; i++) {
        assertThat(fixture.dispatch("queued-" + i, dispatch -> {}).isFinished()).isFalse();
      }
      assertRefused(
          fixture.dispatch("1", dispatch -> {}), RefusalKind.QUEUE_FULL, RunState.NOT_RUN);
      RecordingExchange other =
          fixture.dispatch("2", dispatch -> dispatch.setClientAccount("warehouse"));
      assertThat(other.isFinished()).isFalse();
    }

    // Guards against changes of account weights that take effect only after a restart.
    @Test
    void appliesChangedWeightsToQueuedRequests() throws Exception {
      for (int i = 0; i < SLOTS; i++) {
        fixture.dispatch("running-" + i, dispatch -> {});
      }
      for (int i = 0; i < 4; i++) {
        fixture.dispatch("small-" + i, dispatch -> dispatch.setClientAccount("small"));
        fixture.dispatch("large-" + i, dispatch -> dispatch.setClientAccount("large"));
      }
      Map<String, ClientAccount> accounts = Map.of("large", new ClientAccount("large", 9, ""));
      fixture.configure(
          new ConfigurationSnapshot(
              1, Map.of(), accounts, Map.of(), Set.of(), Set.of(), Policies.DEFAULT));
      // One slot stays occupied: calls of two slots reach the back end in any order.
      for (int i = 1; i < SLOTS; i++) {
        fixture.nextCall();
      }
      EndpointFixture.answer(fixture.nextCall(), "done");
      StringBuilder order = new StringBuilder();
      for (int i = 0; i < 8; i++) {
        HttpExchange call = fixture.nextCall();
        order.append(call.request().header(Run.REQUEST_ID_HEADER)).append(' ');
        EndpointFixture.answer(call, "done");
      }
      assertThat(order.indexOf("large-3")).isLessThan(order.indexOf("small-1"));
    }

    // Guards against a request that starts, or remains queued, after its deadline.
    @Test
    void refusesQueuedRequestAfterItsDeadline() throws Exception {
      for (int i = 0; i < SLOTS; i++) {
        fixture.dispatch("running-" + i, dispatch -> {});
        fixture.nextCall();
      }
      RecordingExchange queued = fixture.dispatch("1", dispatch -> dispatch.setTimeoutMs(100));
      fixture.time.advance(99, TimeUnit.MILLISECONDS);
      assertThat(queued.isFinished()).isFalse();
      fixture.time.advance(1, TimeUnit.MILLISECONDS);
      assertRefused(queued, RefusalKind.DEADLINE_PASSED, RunState.NOT_RUN);
    }
  }
}
