package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Responses without a length or chunks, which end with their connection. */
class ConnectionDelimitedResponseTest {
  private static void respond(
      ScriptedHttpEndpoint.Request request, ScriptedHttpEndpoint.Connection connection, String body)
      throws IOException {
    connection.write("HTTP/1.1 200 OK\r\nid: " + request.id() + "\r\nproof: p\r\n\r\n" + body);
    connection.socket().close();
  }

  // Guards against a response that is held back or failed because it has no length.
  @Test
  void isForwardedWhole() throws Exception {
    try (ScriptedHttpEndpoint endpoint =
            new ScriptedHttpEndpoint(
                (request, connection) -> respond(request, connection, "body"));
        GatewayFixture fixture = new GatewayFixture(endpoint)) {
      for (String id : new String[] {"1", "2"}) {
        HttpResponse<String> response = fixture.send("POST", "/post/a", id);
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("body");
      }
      assertThat(endpoint.requests()).hasSize(2);
    }
  }

  /**
   * Endpoints that answer after the head of a request whose body is too long for the buffers of the
   * connection, so that the gateway still writes it.
   */
  @Nested
  class DuringTheRequest {
    private static final String BODY = "x".repeat(4_000_000);
    private static final String HEAD = "HTTP/1.1 200 OK\r\nid: 1\r\nproof: p\r\n";

    private HttpResponse<String> answerTo(ScriptedHttpEndpoint.Script script) throws Exception {
      try (ScriptedHttpEndpoint endpoint = ScriptedHttpEndpoint.answeringHeads(script);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        return fixture.sendBodyAsync("POST", "/post/a", "1", BODY).get(5, TimeUnit.SECONDS);
      }
    }

    // Guards against a part of a response that passes as complete after a reset, which the write of
    // the request meets before any read does.
    @Test
    void resetIsNoEnd() throws Exception {
      HttpResponse<String> response =
          answerTo(
              (request, connection) -> {
                connection.write(HEAD + "\r\npart");
                new LoopbackDelivery(connection.socket()).awaitRead();
                connection.reset();
              });
      assertThat(response.statusCode()).isEqualTo(502);
    }

    // Guards against taking the end of the input for that of the response, when a crash is reported
    // only by the bytes of the request that follow.
    @Test
    void resetAfterTheEndOfTheInputIsNoEnd() throws Exception {
      HttpResponse<String> response =
          answerTo(
              (request, connection) -> {
                connection.write(HEAD + "\r\npart");
                connection.socket().shutdownOutput();
                new LoopbackDelivery(connection.socket()).awaitClose();
                connection.reset();
              });
      assertThat(response.statusCode()).isEqualTo(502);
    }

    // Guards against failing a whole response because it ended before the request was read.
    @Test
    void theEndOfTheInputCompletesTheResponseOnceTheRequestIsWritten() throws Exception {
      HttpResponse<String> response =
          answerTo(
              (request, connection) -> {
                connection.write(HEAD + "\r\nwhole");
                connection.socket().shutdownOutput();
                new LoopbackDelivery(connection.socket()).awaitClose();
                connection.skipBody(BODY.length());
              });
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body()).isEqualTo("whole");
    }

    // Guards against a request that waits behind the rest of an earlier one on its connection.
    @Test
    void theConnectionIsNotUsedAgainBeforeTheRequestIsWritten() throws Exception {
      CountDownLatch nextAnswered = new CountDownLatch(1);
      try (ScriptedHttpEndpoint endpoint =
              ScriptedHttpEndpoint.answeringHeads(
                  (request, connection) -> {
                    connection.respond(200, request.id(), "proof: p\r\n", request.id());
                    if (request.id().equals("1")) {
                      Latches.await(nextAnswered);
                    }
                    connection.skipBody(request.bodyLength());
                  });
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        assertThat(
                fixture.sendBodyAsync("POST", "/post/a", "1", BODY).get(5, TimeUnit.SECONDS).body())
            .isEqualTo("1");
        assertThat(fixture.send("POST", "/post/a", "2").body()).isEqualTo("2");
        nextAnswered.countDown();
      }
    }

    // Guards against connections, each with the rest of a request in memory, that stay open because
    // their endpoint does not read on.
    @Test
    void theConnectionIsClosedIfTheRestIsNotReadInTime() throws Exception {
      CountDownLatch closed = new CountDownLatch(1);
      try (ScriptedHttpEndpoint endpoint =
              ScriptedHttpEndpoint.answeringHeads(
                  (request, connection) -> {
                    connection.write(HEAD + "Content-Length: 5\r\n\r\nwhole");
                    new LoopbackDelivery(connection.socket()).awaitClose();
                    closed.countDown();
                  });
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        fixture.sendBodyAsync("POST", "/post/a", "1", BODY).get(5, TimeUnit.SECONDS);
        Latches.await(closed);
      }
    }
  }

  @Nested
  class Stream {
    private static final String FIRST = "id: 1\ndata: a\n\n";
    private static final String SECOND = "id: 2\ndata: b\n\n";

    private String bodyAfter(String firstBody) throws Exception {
      ScriptedHttpEndpoint.Script script =
          (request, connection) -> respond(request, connection, firstBody);
      ScriptedHttpEndpoint.Script rest =
          (request, connection) ->
              respond(
                  request,
                  connection,
                  "1".equals(request.headers().get("resume")) ? SECOND : FIRST + SECOND);
      try (ScriptedHttpEndpoint first = new ScriptedHttpEndpoint(script);
          ScriptedHttpEndpoint second = new ScriptedHttpEndpoint(rest);
          GatewayFixture fixture = new GatewayFixture(first, second)) {
        HttpResponse<String> response = fixture.send("POST", "/stream/a", "1");
        assertThat(response.statusCode()).isEqualTo(200);
        return response.body();
      }
    }

    // Guards against a second run of a stream that was complete.
    @Test
    void thatEndsAfterAnEventIsComplete() throws Exception {
      assertThat(bodyAfter(FIRST)).isEqualTo(FIRST);
    }

    // Guards against forwarding a stream that was broken off as if it were complete.
    @Test
    void thatEndsInsideAnEventIsContinuedElsewhere() throws Exception {
      assertThat(bodyAfter(FIRST + "id: 2\nda")).isEqualTo(FIRST + SECOND);
    }

    // Guards against ending a stream as complete after a reset between two events.
    @Test
    void thatIsResetAfterAnEventIsContinuedElsewhere() throws Exception {
      ScriptedHttpEndpoint.Script cutOff =
          (request, connection) -> {
            if ("1".equals(request.headers().get("resume"))) {
              connection.skipBody(request.bodyLength());
              respond(request, connection, SECOND);
            } else {
              connection.write(
                  "HTTP/1.1 200 OK\r\nid: " + request.id() + "\r\nproof: p\r\n\r\n" + FIRST);
              new LoopbackDelivery(connection.socket()).awaitRead();
              connection.reset();
            }
          };
      try (ScriptedHttpEndpoint first = ScriptedHttpEndpoint.answeringHeads(cutOff);
          ScriptedHttpEndpoint second = ScriptedHttpEndpoint.answeringHeads(cutOff);
          GatewayFixture fixture = new GatewayFixture(first, second)) {
        HttpResponse<String> response =
            fixture
                .sendBodyAsync("POST", "/stream/a", "1", DuringTheRequest.BODY)
                .get(5, TimeUnit.SECONDS);
        assertThat(response.body()).isEqualTo(FIRST + SECOND);
      }
    }

    // Guards against forwarding an empty stream when an engine stops before its first event.
    @Test
    void withoutAnyEventIsSentElsewhere() throws Exception {
      assertThat(bodyAfter("")).isEqualTo(FIRST + SECOND);
    }
  }
}
