package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class RemovedKeyTest {
  // Guards against a stream that is left open, without an event or an end, when its engine crashes
  // after its key was removed.
  @Test
  void endsStreamsThatCannotBeContinued() throws Exception {
    CountDownLatch removed = new CountDownLatch(1);
    ScriptedHttpEndpoint.Script script =
        (request, connection) -> {
          connection.startEventStream(request.id());
          connection.writeChunk("id: 1\ndata: a\n\n");
          Latches.await(removed);
          connection.reset();
        };
    try (ScriptedHttpEndpoint first = new ScriptedHttpEndpoint(script);
        ScriptedHttpEndpoint second = new ScriptedHttpEndpoint(script);
        GatewayFixture fixture = new GatewayFixture(first, second);
        Socket caller = new Socket(fixture.address().host(), fixture.address().port())) {
      caller.setSoTimeout(5_000);
      caller
          .getOutputStream()
          .write(
              ("POST /keyed-stream/a HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 0\r\n"
                      + "key: secret\r\nid: 1\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
      String answer = "";
      while (!answer.contains("data: a")) {
        answer += (char) caller.getInputStream().read();
      }
      fixture.removeKeys();
      removed.countDown();
      assertThat(restOf(caller)).doesNotContain("HTTP/1.1").doesNotContain("0\r\n\r\n");
      assertThat(first.requests().size() + second.requests().size()).isEqualTo(1);
    }
  }

  private static String restOf(Socket caller) throws IOException {
    return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
  }
}
