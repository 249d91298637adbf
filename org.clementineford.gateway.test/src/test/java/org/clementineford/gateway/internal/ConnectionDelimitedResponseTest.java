package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
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

    // Guards against forwarding an empty stream when an engine stops before its first event.
    @Test
    void withoutAnyEventIsSentElsewhere() throws Exception {
      assertThat(bodyAfter("")).isEqualTo(FIRST + SECOND);
    }
  }
}
