package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.Test;

class TricklingStreamTest {
  private static final int PIECES = 12;

  private final VirtualTime time = new VirtualTime(0);
  private final Semaphore pieces = new Semaphore(0);
  private final Semaphore written = new Semaphore(0);

  private void trickle(
      ScriptedHttpEndpoint.Request request, ScriptedHttpEndpoint.Connection connection)
      throws IOException {
    connection.startEventStream(request.id());
    if (!request.headers().containsKey("resume")) {
      connection.writeChunk("id: 1\ndata: a\n\n");
      for (int i = 0; i < PIECES; i++) {
        pieces.acquireUninterruptibly();
        connection.writeChunk("d");
        written.release();
      }
      pieces.acquireUninterruptibly();
    }
    connection.writeChunk("id: 2\ndata: b\n\n");
    connection.writeChunk("");
  }

  // Guards against a stalled stream that never ends because a byte arrives now and then.
  @Test
  void isContinuedElsewhereIfNoEventIsComplete() throws Exception {
    try (ScriptedHttpEndpoint first = new ScriptedHttpEndpoint(this::trickle);
        ScriptedHttpEndpoint second = new ScriptedHttpEndpoint(this::trickle);
        GatewayFixture fixture = new GatewayFixture(time, first, second)) {
      final CompletableFuture<HttpResponse<String>> answer =
          fixture.sendAsync("POST", "/patient/a", "t", "timeout", "6000");
      fixture.awaitFirstAnswers(1);
      for (int i = 0; i < PIECES && !answer.isDone(); i++) {
        pieces.release();
        written.tryAcquire(1, TimeUnit.SECONDS);
        fixture.advance(time, 100);
      }
      assertThat(answer.get(5, TimeUnit.SECONDS).body())
          .isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
      assertThat(first.requests().size() + second.requests().size()).isEqualTo(2);
    }
  }
}
