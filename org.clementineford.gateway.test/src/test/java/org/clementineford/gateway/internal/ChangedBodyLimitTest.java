package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.clementineford.serving.model.CallerLimits;
import org.junit.jupiter.api.Test;

class ChangedBodyLimitTest {
  private static final int IDLE_MS = 60_000;

  private static String exchange(Socket socket, String id) throws IOException {
    String body = "x".repeat(2_000);
    socket
        .getOutputStream()
        .write(
            ("POST /post/a HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 2000\r\nid: "
                    + id
                    + "\r\n\r\n"
                    + body)
                .getBytes(StandardCharsets.US_ASCII));
    StringBuilder answer = new StringBuilder();
    while (answer.indexOf("\r\n\r\n") < 0) {
      answer.append((char) socket.getInputStream().read());
    }
    if (answer.indexOf(" 200 ") > 0) {
      socket.getInputStream().readNBytes(4);
    }
    return answer.toString();
  }

  // Guards against the limit of the time at which a connection was opened.
  @Test
  void holdsForTheNextRequestOfAnOpenConnection() throws Exception {
    try (ScriptedHttpEndpoint endpoint =
            new ScriptedHttpEndpoint(
                (request, connection) ->
                    connection.respond(200, request.id(), "proof: p\r\n", "good"));
        GatewayFixture fixture = new GatewayFixture(endpoint);
        Socket socket = new Socket("127.0.0.1", fixture.address().port())) {
      socket.setSoTimeout(5_000);
      fixture.limitCallers(new CallerLimits(3_000, IDLE_MS));
      assertThat(exchange(socket, "1")).startsWith("HTTP/1.1 200");
      fixture.limitCallers(new CallerLimits(1_000, IDLE_MS));
      assertThat(exchange(socket, "2")).startsWith("HTTP/1.1 413");
      fixture.limitCallers(new CallerLimits(3_000, IDLE_MS));
      assertThat(exchange(socket, "3")).startsWith("HTTP/1.1 200");
    }
  }
}
