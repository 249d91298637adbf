package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.clementineford.testing.EndlessResponse;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class EndlessBytesTest {
  // The time stands still, so no timer of the gateway ends a request.
  private final VirtualTime time = new VirtualTime(0);

  private void assertEnds(EndlessResponse response, String method, String path) throws Exception {
    CompletableFuture<Long> sent = new CompletableFuture<>();
    CountDownLatch end = new CountDownLatch(1);
    ScriptedHttpEndpoint.Script script =
        (request, connection) -> {
          sent.complete(response.sendTo(connection.output()));
          Latches.await(end);
        };
    try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
        GatewayFixture fixture = new GatewayFixture(time, endpoint)) {
      CompletableFuture<HttpResponse<String>> failure = fixture.sendAsync(method, path, "1");
      assertThat(sent.get(5, TimeUnit.SECONDS)).isLessThan(EndlessResponse.MAX_SENT_BYTES);
      // A stream waits for another engine, since it may run again.
      if (!path.startsWith("/stream/")) {
        assertThat(failure.get(5, TimeUnit.SECONDS).statusCode()).isEqualTo(502);
      }
    } finally {
      end.countDown();
    }
  }

  @Nested
  class Request {
    // Guards against a request that is held, and memory that grows, while an endpoint sends on.
    @ParameterizedTest
    @EnumSource(EndlessResponse.class)
    void failsAtOnce(EndlessResponse response) throws Exception {
      assertEnds(response, "POST", "/post/a");
    }
  }

  @Nested
  class Stream {
    // Guards against an event without end, which is never complete and fills the memory.
    @Test
    void failsAtOnce() throws Exception {
      assertEnds(EndlessResponse.BODY_UNTIL_CLOSE, "POST", "/stream/a");
    }
  }

  @Nested
  class IdleConnection {
    // Guards against line breaks after an answer, which the decoder skips without end.
    @Test
    void isClosedWhenBytesArrive() throws Exception {
      CompletableFuture<Long> sent = new CompletableFuture<>();
      ScriptedHttpEndpoint.Script script =
          (request, connection) -> {
            connection.respond(200, request.id(), "proof: p\r\n", "good");
            sent.complete(EndlessResponse.LINE_BREAKS.sendTo(connection.output()));
          };
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(time, endpoint)) {
        assertThat(fixture.send("POST", "/post/a", "1").statusCode()).isEqualTo(200);
        assertThat(sent.get(5, TimeUnit.SECONDS)).isLessThan(EndlessResponse.MAX_SENT_BYTES);
      }
    }
  }
}
