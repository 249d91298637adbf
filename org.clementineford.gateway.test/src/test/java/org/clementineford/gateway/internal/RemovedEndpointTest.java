package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementineford.serving.model.Endpoint;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RemovedEndpointTest {
  private final CountDownLatch arrived = new CountDownLatch(1);
  private final CountDownLatch removed = new CountDownLatch(1);
  private final AtomicInteger arrivals = new AtomicInteger();

  /** Ends the first connection on which a request arrives, and answers all others. */
  private void endFirst(
      ScriptedHttpEndpoint.Request request, ScriptedHttpEndpoint.Connection connection)
      throws IOException {
    boolean first = arrivals.incrementAndGet() == 1;
    boolean stream = request.line().contains("stream");
    if (stream) {
      connection.startEventStream(request.id());
      connection.writeChunk(first ? "id: 1\ndata: a\n\n" : "id: 2\ndata: b\n\n");
    }
    if (first) {
      arrived.countDown();
      Latches.await(removed);
      connection.reset();
    } else if (stream) {
      connection.write("0\r\n\r\n");
    } else {
      connection.respond(200, request.id(), "proof: p\r\n", "good");
    }
  }

  private static List<Endpoint> listing(ScriptedHttpEndpoint endpoint, String id) {
    return List.of(
        new Endpoint(id, 1, "plain", endpoint.address(), "x", false, 0),
        new Endpoint("m" + id, 1, "pool", endpoint.address(), "x", false, 1));
  }

  /** Returns the answer to a request whose endpoint is removed, and then ends, during the work. */
  private HttpResponse<String> answer(String method, String path) throws Exception {
    try (ScriptedHttpEndpoint first = new ScriptedHttpEndpoint(this::endFirst);
        ScriptedHttpEndpoint second = new ScriptedHttpEndpoint(this::endFirst);
        GatewayFixture fixture = new GatewayFixture(new VirtualTime(0))) {
      fixture.list(listing(first, "a"));
      final CompletableFuture<HttpResponse<String>> answer = fixture.sendAsync(method, path, "r");
      Latches.await(arrived);
      fixture.list(listing(second, "b"));
      removed.countDown();
      return answer.get(5, TimeUnit.SECONDS);
    }
  }

  @Nested
  class RequestAtEndpointThatEnds {
    // Guards against a request that may run again, but ends with its endpoint after its removal.
    @Test
    void isSentAgainIfItMayRunAgain() throws Exception {
      assertThat(answer("GET", "/get/a").statusCode()).isEqualTo(200);
      assertThat(arrivals).hasValue(2);
    }

    // Guards against a stream that is not continued after the removal of its engine.
    @Test
    void isContinuedElsewhereAsStream() throws Exception {
      assertThat(answer("POST", "/stream/a").body())
          .isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    }

    // Guards against a second run of a request, and against a refusal that is not true.
    @Test
    void isNotSentAgainIfItMustRunOnce() throws Exception {
      assertThat(answer("POST", "/post/a").statusCode()).isEqualTo(502);
      assertThat(arrivals).hasValue(1);
    }
  }
}
