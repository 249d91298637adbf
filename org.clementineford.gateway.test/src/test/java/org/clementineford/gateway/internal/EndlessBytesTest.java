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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class EndlessBytesTest {
  /** Bytes that an endpoint may send until the gateway closes; the rest fits into buffers. */
  private static final long MAX_SENT_BYTES = 64L << 20;

  // The time stands still, so no timer of the gateway ends a request.
  private final VirtualTime time = new VirtualTime(0);

  /** Bytes that are no answer: a start, and a part that is repeated until the gateway closes. */
  private enum Answer {
    STATUS_LINE("", "x"),
    HEADER_FIELDS("HTTP/1.1 200 OK\r\n", "a: b\r\n"),
    LINE_BREAKS("", "\r\n"),
    INTERIM_RESPONSES("", "HTTP/1.1 100 Continue\r\n\r\n"),
    ANSWERS_TO_OTHERS("", "HTTP/1.1 200 OK\r\nid: other\r\nContent-Length: 1\r\n\r\nx"),
    BODY_UNTIL_CLOSE("HTTP/1.1 200 OK\r\nproof: p\r\n\r\n", "x"),
    BODY_WITH_LENGTH("HTTP/1.1 200 OK\r\nproof: p\r\nContent-Length: 99999999999\r\n\r\n", "x"),
    BODY_CHUNKS("HTTP/1.1 200 OK\r\nproof: p\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
    CHUNK_LENGTH("HTTP/1.1 200 OK\r\nproof: p\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
    TRAILERS("HTTP/1.1 200 OK\r\nproof: p\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n");

    private final String start;
    private final String part;

    Answer(String start, String part) {
      this.start = start;
      this.part = part;
    }

    /** Sends until the gateway closes the connection, and returns the number of bytes. */
    long sendTo(ScriptedHttpEndpoint.Connection connection) {
      String block = part.repeat(65_536 / part.length());
      long sent = 0;
      try {
        connection.write(start);
        while (sent < MAX_SENT_BYTES) {
          connection.write(block);
          sent += block.length();
        }
      } catch (IOException e) {
        return sent;
      }
      return sent;
    }
  }

  private void assertEnds(Answer answer, String method, String path) throws Exception {
    CompletableFuture<Long> sent = new CompletableFuture<>();
    CountDownLatch end = new CountDownLatch(1);
    ScriptedHttpEndpoint.Script script =
        (request, connection) -> {
          sent.complete(answer.sendTo(connection));
          await(end);
        };
    try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
        GatewayFixture fixture = new GatewayFixture(time, endpoint)) {
      CompletableFuture<HttpResponse<String>> failure = fixture.sendAsync(method, path, "1");
      assertThat(sent.get(5, TimeUnit.SECONDS)).isLessThan(MAX_SENT_BYTES);
      // A stream waits for another engine, since it may run again.
      if (!path.startsWith("/stream/")) {
        assertThat(failure.get(5, TimeUnit.SECONDS).statusCode()).isEqualTo(502);
      }
    } finally {
      end.countDown();
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Nested
  class Request {
    // Guards against a request that is held, and memory that grows, while an endpoint sends on.
    @ParameterizedTest
    @EnumSource(Answer.class)
    void failsAtOnce(Answer answer) throws Exception {
      assertEnds(answer, "POST", "/post/a");
    }
  }

  @Nested
  class Stream {
    // Guards against an event without end, which is never complete and fills the memory.
    @Test
    void failsAtOnce() throws Exception {
      assertEnds(Answer.BODY_UNTIL_CLOSE, "POST", "/stream/a");
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
            sent.complete(Answer.LINE_BREAKS.sendTo(connection));
          };
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(time, endpoint)) {
        assertThat(fixture.send("POST", "/post/a", "1").statusCode()).isEqualTo(200);
        assertThat(sent.get(5, TimeUnit.SECONDS)).isLessThan(MAX_SENT_BYTES);
      }
    }
  }
}
