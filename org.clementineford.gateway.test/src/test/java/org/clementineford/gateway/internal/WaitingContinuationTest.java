package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A started stream whose engine resets its connection while all other engines are full. */
class WaitingContinuationTest {
  private static final String WHOLE = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  private static final int WAITING = 40;

  private final VirtualTime time = new VirtualTime(0);
  private final CountDownLatch reset = new CountDownLatch(1);
  private final List<Semaphore> released = List.of(new Semaphore(0), new Semaphore(0));
  private final List<ScriptedHttpEndpoint> engines = new ArrayList<>();
  private final List<CompletableFuture<HttpResponse<String>>> others = new ArrayList<>();
  private GatewayFixture fixture;
  private CompletableFuture<HttpResponse<String>> continued;

  @BeforeEach
  void fillEngines() throws Exception {
    for (Semaphore semaphore : released) {
      engines.add(
          new ScriptedHttpEndpoint(
              (request, connection) -> stream(request, connection, semaphore)));
    }
    fixture = new GatewayFixture(time, engines.toArray(ScriptedHttpEndpoint[]::new));
    continued = fixture.sendAsync("POST", "/patient/a", "continued", "timeout", "6000");
    for (int i = 1; i < 2 * GatewayFixture.SLOTS; i++) {
      others.add(fixture.sendAsync("POST", "/once/a", "full-" + i, "timeout", "6000"));
    }
    fixture.awaitFirstAnswers(2 * GatewayFixture.SLOTS);
  }

  @AfterEach
  void stop() throws IOException {
    reset.countDown();
    released.forEach(semaphore -> semaphore.release(WAITING));
    fixture.close();
    for (ScriptedHttpEndpoint engine : engines) {
      engine.close();
    }
  }

  private void stream(
      ScriptedHttpEndpoint.Request request,
      ScriptedHttpEndpoint.Connection connection,
      Semaphore semaphore)
      throws IOException {
    connection.startEventStream(request.id());
    if (!request.headers().containsKey("resume")) {
      connection.writeChunk("id: 1\ndata: a\n\n");
      if (isContinued(request)) {
        Latches.await(reset);
        connection.reset();
        return;
      }
      semaphore.acquireUninterruptibly();
    }
    connection.writeChunk("id: 2\ndata: b\n\n");
    connection.writeChunk("");
  }

  private void resetConnection() throws Exception {
    reset.countDown();
    fixture.awaitFailedAttempts(1);
  }

  /** Ends one stream of the engine that has not received the request to be continued. */
  private ScriptedHttpEndpoint freeSlotOfOtherEngine() throws Exception {
    int other = engines.get(0).requests().stream().anyMatch(this::isContinued) ? 1 : 0;
    released.get(other).release();
    CompletableFuture.anyOf(others.toArray(CompletableFuture[]::new)).get(5, TimeUnit.SECONDS);
    return engines.get(other);
  }

  private boolean isContinued(ScriptedHttpEndpoint.Request request) {
    return request.id().equals("continued");
  }

  // Guards against cutting a stream because requests that have not begun wait for the engines.
  @Test
  void isNotRefusedAndGoesAheadOfRequestsThatHaveNotBegun() throws Exception {
    List<CompletableFuture<HttpResponse<String>>> waiting = new ArrayList<>();
    for (int i = 0; i < WAITING; i++) {
      waiting.add(fixture.sendAsync("POST", "/once/a", "waiting-" + i, "timeout", "6000"));
    }
    CompletableFuture.anyOf(waiting.toArray(CompletableFuture[]::new)).get(5, TimeUnit.SECONDS);
    fixture.advance(time, 900);
    resetConnection();
    ScriptedHttpEndpoint other = freeSlotOfOtherEngine();
    assertThat(continued.get(5, TimeUnit.SECONDS).body()).isEqualTo(WHOLE);
    assertThat(other.requests().get(GatewayFixture.SLOTS).id()).isEqualTo("continued");
  }

  // Guards against cutting a stream because it arrived long ago, though its caller still waits.
  @Test
  void waitsAsLongAsItsCaller() throws Exception {
    fixture.advance(time, 2_500);
    resetConnection();
    fixture.advance(time, 500);
    freeSlotOfOtherEngine();
    fixture.advance(time, 300);
    assertThat(continued.get(5, TimeUnit.SECONDS).body()).isEqualTo(WHOLE);
  }
}
