package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.clementineford.serving.model.CallerLimits;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class IdleCallerTest {
  private static final CallerLimits SHORT = new CallerLimits(4 << 20, 1_000);

  private final VirtualTime time = new VirtualTime(0);
  private ScriptedHttpEndpoint endpoint;
  private GatewayFixture fixture;
  private Socket socket;
  private RawCaller caller;

  @BeforeEach
  void connect() throws Exception {
    endpoint =
        new ScriptedHttpEndpoint(
            (request, connection) -> connection.respond(200, request.id(), "proof: p\r\n", "good"));
    fixture = new GatewayFixture(time, endpoint);
    caller = RawCaller.connect(fixture, 5_000);
    socket = caller.socket();
    socket.setSoTimeout(5_000);
  }

  @AfterEach
  void close() throws Exception {
    socket.close();
    fixture.close();
    endpoint.close();
  }

  private String answer() throws IOException {
    StringBuilder answer = new StringBuilder();
    while (!answer.toString().endsWith("good")) {
      int next = socket.getInputStream().read();
      if (next < 0) {
        return answer + " END";
      }
      answer.append((char) next);
    }
    return answer.toString();
  }

  private String exchange(String id) throws Exception {
    caller.send("POST", "/post/a", id);
    String answer = answer();
    // The first check after an answer was written counts as progress of the answer.
    fixture.run(fixture.gateway()::closeIdle);
    return answer;
  }

  private void closeIdleAfter(long millis) throws Exception {
    time.advance(millis, TimeUnit.MILLISECONDS);
    fixture.run(fixture.gateway()::closeIdle);
  }

  private void assertClosed() throws IOException {
    assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
        .isEmpty();
  }

  @Nested
  class ShorterIdleTime {
    // Guards against a close while the caller goes by the idle time that held at its last answer.
    @Test
    void doesNotHoldForConnectionsWithAnEarlierAnswer() throws Exception {
      exchange("1");
      fixture.limitCallers(SHORT);
      closeIdleAfter(48_000);
      assertThat(exchange("2")).startsWith("HTTP/1.1 200");
      closeIdleAfter(1_600);
      assertClosed();
    }

    // Guards against a close while the caller goes by the idle time that held as it connected.
    @Test
    void doesNotHoldForConnectionsOpenedBefore() throws Exception {
      while (fixture.gateway().openCallerConnections() == 0) {
        fixture.run(fixture.gateway()::closeIdle);
      }
      fixture.limitCallers(SHORT);
      closeIdleAfter(48_000);
      assertThat(exchange("1")).startsWith("HTTP/1.1 200");
    }
  }

  @Nested
  class RequestInTheSocket {
    private void sendUnread(String id) {
      try {
        caller.send("POST", "/post/a", id);
        new LoopbackDelivery(socket).awaitUnreadBytes();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    // Guards against a close that crosses a request which had arrived and was not read yet.
    @Test
    void keepsItsConnectionOpen() throws Exception {
      exchange("1");
      time.advance(61, TimeUnit.SECONDS);
      fixture.run(
          () -> {
            sendUnread("2");
            fixture.gateway().closeIdle();
          });
      assertThat(answer()).startsWith("HTTP/1.1 200");
    }

    // Guards against a planned stop that closes a connection whose request had arrived.
    @Test
    void keepsItsConnectionOpenDuringStop() throws Exception {
      exchange("1");
      time.advance(1, TimeUnit.SECONDS);
      fixture.beginStop();
      fixture.run(
          () -> {
            sendUnread("2");
            fixture.gateway().stopAccepting();
          });
      assertThat(answer()).startsWith("HTTP/1.1 200").containsIgnoringCase("connection: close");
    }
  }

  @Nested
  class KeepAlive {
    // Guards against callers that have to guess how long their connection stays open.
    @Test
    void statesTheIdleTimeInWholeSeconds() throws Exception {
      assertThat(exchange("1")).containsIgnoringCase("keep-alive: timeout=60\r\n");
      fixture.limitCallers(new CallerLimits(4 << 20, 1_900));
      assertThat(exchange("2")).containsIgnoringCase("keep-alive: timeout=1\r\n");
      fixture.limitCallers(new CallerLimits(4 << 20, 900));
      assertThat(exchange("3")).doesNotContainIgnoringCase("keep-alive");
    }
  }
}
