package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DepartedCallerTest {
  private final VirtualTime time = new VirtualTime(0);
  private final CountDownLatch silence = new CountDownLatch(1);

  /** Answers all requests except those with the given ID, for which it stays silent. */
  private ScriptedHttpEndpoint.Script silentFor(String id, CountDownLatch arrived) {
    return (request, connection) -> {
      if (request.id().equals(id)) {
        arrived.countDown();
        Latches.await(silence);
      } else {
        connection.respond(200, request.id(), "proof: p\r\n", "good");
      }
    };
  }

  private static long arrivals(String id, ScriptedHttpEndpoint... endpoints) {
    return List.of(endpoints).stream()
        .flatMap(endpoint -> endpoint.requests().stream())
        .filter(request -> request.id().equals(id))
        .count();
  }

  @Nested
  class Retry {
    // Guards against a retry by a timer that runs before the event loop reads the caller's close.
    @Test
    void isNotSentAfterStallOfTheEventLoop() throws Exception {
      CountDownLatch arrived = new CountDownLatch(1);
      try (ScriptedHttpEndpoint first = new ScriptedHttpEndpoint(silentFor("left", arrived));
          ScriptedHttpEndpoint second = new ScriptedHttpEndpoint(silentFor("left", arrived));
          GatewayFixture fixture = new GatewayFixture(time, first, second)) {
        RawCaller caller = RawCaller.connect(fixture, 1_000);
        caller.send("GET", "/get/a", "left");
        Latches.await(arrived);
        fixture.whileProcessing(
            "stall",
            () -> {
              caller.close();
              time.advance(600, TimeUnit.MILLISECONDS);
            });
        assertThat(fixture.send("GET", "/get/a", "stall").statusCode()).isEqualTo(200);
        fixture.closeIdleGateway();
        silence.countDown();
        first.awaitConnectionsEnded();
        second.awaitConnectionsEnded();
        assertThat(arrivals("left", first, second)).isEqualTo(1);
      }
    }
  }

  @Nested
  class StreamWithoutEvent {
    // Guards against a retry that reaches an engine when the caller is about to leave.
    @Test
    void isNotRetriedShortlyBeforeItsCallerLeaves() throws Exception {
      CountDownLatch firstArrived = new CountDownLatch(1);
      CountDownLatch secondArrived = new CountDownLatch(1);
      CountDownLatch firstEnds = new CountDownLatch(1);
      ScriptedHttpEndpoint.Script script =
          (request, connection) -> {
            if (request.id().equals("first")) {
              firstArrived.countDown();
              Latches.await(firstEnds);
              connection.startEventStream(request.id());
              connection.writeChunk("id: 1\ndata: a\n\n");
              connection.write("0\r\n\r\n");
            } else {
              secondArrived.countDown();
              Latches.await(silence);
            }
          };
      try (ScriptedHttpEndpoint one = new ScriptedHttpEndpoint(script);
          ScriptedHttpEndpoint other = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(time, one, other)) {
        RawCaller.connect(fixture, 6_000).send("POST", "/stream/a", "first", "second");
        Latches.await(firstArrived);
        time.advance(300, TimeUnit.MILLISECONDS);
        firstEnds.countDown();
        Latches.await(secondArrived);
        time.advance(1_500, TimeUnit.MILLISECONDS);
        fixture.closeIdleGateway();
        silence.countDown();
        one.awaitConnectionsEnded();
        other.awaitConnectionsEnded();
        assertThat(arrivals("second", one, other)).isEqualTo(1);
      }
    }
  }

  @Nested
  class AbandonedRequest {
    // Guards against delivery of a request that the network holds back until its caller has left.
    @Test
    void isDiscardedByResetOfItsConnection() throws Exception {
      for (String path : List.of("/get/a", "/stream/a")) {
        CompletableFuture<String> end = new CompletableFuture<>();
        CountDownLatch arrived = new CountDownLatch(1);
        ScriptedHttpEndpoint.Script script =
            (request, connection) -> {
              arrived.countDown();
              end.complete(endOf(connection.socket()));
            };
        try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
            GatewayFixture fixture = new GatewayFixture(time, endpoint)) {
          RawCaller caller = RawCaller.connect(fixture, 1_000);
          caller.send("GET", path, "left");
          Latches.await(arrived);
          caller.close();
          assertThat(end.get(5, TimeUnit.SECONDS)).isEqualTo("Connection reset");
        }
      }
    }

    // Guards against a request that must run once and holds its connection for ever.
    @Test
    void thatMustRunOnceEndsAtItsDeadline() throws Exception {
      CompletableFuture<String> end = new CompletableFuture<>();
      CountDownLatch arrived = new CountDownLatch(1);
      ScriptedHttpEndpoint.Script script =
          (request, connection) -> {
            connection.skipBody(request.bodyLength());
            arrived.countDown();
            end.complete(endOf(connection.socket()));
          };
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(time, endpoint)) {
        RawCaller caller = RawCaller.connect(fixture, 1_000);
        caller.send("POST", "/post/a", "left");
        Latches.await(arrived);
        caller.close();
        fixture.closeIdleGateway();
        assertThat(end).isNotDone();
        fixture.advance(time, 2_100);
        assertThat(end.get(5, TimeUnit.SECONDS)).isEqualTo("Connection reset");
      }
    }

    private String endOf(Socket socket) {
      try {
        return "read " + socket.getInputStream().read();
      } catch (IOException e) {
        return e.getMessage();
      }
    }
  }

  @Nested
  class Request {
    // Guards against sending a request that was read in one go with the close of its connection.
    @Test
    void isNotSentIfItsCloseLiesBehindIt() throws Exception {
      assertNotSent("GET", "/get/a");
      assertNotSent("POST", "/post/a");
      assertNotSent("POST", "/stream/a");
    }

    private void assertNotSent(String method, String path) throws Exception {
      try (ScriptedHttpEndpoint endpoint =
              new ScriptedHttpEndpoint(silentFor("left", new CountDownLatch(1)));
          GatewayFixture fixture = new GatewayFixture(time, endpoint)) {
        RawCaller caller = RawCaller.connect(fixture, 1_000);
        caller.send("GET", "/get/a", "before");
        assertThat(caller.socket().getInputStream().read()).isEqualTo('H');
        fixture.whileProcessing("stall", () -> caller.sendAndClose(method, path, "left"));
        // Needs no connection to the endpoint, so that the other request finds an idle one.
        assertThat(fixture.send("GET", "/none/a", "stall").statusCode()).isEqualTo(404);
        fixture.closeIdleGateway();
        silence.countDown();
        endpoint.awaitConnectionsEnded();
        assertThat(arrivals("left", endpoint)).isZero();
      }
    }
  }
}
