package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StoppingGatewayTest {
  private static final String HEAD =
      "POST /post/a HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 4\r\n";

  /** Two answers of this length do not fit into the buffers of a connection. */
  private static final String LONG_BODY = "x".repeat(4_000_000);

  private final VirtualTime time = new VirtualTime(0);

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static void await(GatewayFixture fixture, BooleanSupplier condition) throws Exception {
    long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    while (!condition.getAsBoolean() && System.nanoTime() - giveUpAt < 0) {
      fixture.run(() -> {});
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  /** Waits for a condition on counts of the gateway, which it updates when it closes idle ones. */
  private static void awaitCounted(GatewayFixture fixture, BooleanSupplier condition)
      throws Exception {
    await(
        fixture,
        () -> {
          fixture.runUnchecked(fixture.gateway()::closeIdle);
          return condition.getAsBoolean();
        });
    // The counts come before the check of idle connections, which is to see the time of this one.
    fixture.run(() -> {});
  }

  private static void awaitConnection(GatewayFixture fixture) throws Exception {
    awaitCounted(fixture, () -> fixture.gateway().openCallerConnections() == 1);
  }

  private static ScriptedHttpEndpoint longAnswers() throws IOException {
    return new ScriptedHttpEndpoint(
        (request, connection) -> connection.respond(200, request.id(), "proof: p\r\n", LONG_BODY));
  }

  /**
   * Sends two requests, and waits until their answers are handed to a caller that does not read.
   */
  private static void awaitAnswersInMemory(
      GatewayFixture fixture, ScriptedHttpEndpoint endpoint, Socket socket) throws Exception {
    write(socket, HEAD + "id: 1\r\n\r\nbody" + HEAD + "id: 2\r\n\r\nbody");
    await(fixture, () -> endpoint.requests().size() == 2);
    awaitCounted(fixture, () -> fixture.gateway().requestsInProgress() == 0);
  }

  private static String readUntil(Socket socket, String end) throws IOException {
    StringBuilder text = new StringBuilder();
    int next = 0;
    while (next >= 0 && text.indexOf(end) < 0) {
      next = socket.getInputStream().read();
      text.append((char) next);
    }
    return text.toString();
  }

  private void stop(GatewayFixture fixture) throws Exception {
    fixture.beginStop();
    fixture.run(fixture.gateway()::stopAccepting);
  }

  @Nested
  class Request {
    // Guards against a process that ends on counts from before its last caller connected.
    @Test
    void isAwaitedIfItsCallerHasJustConnected() throws Exception {
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint((request, connection) -> {});
          GatewayFixture fixture = new GatewayFixture(time, endpoint);
          Socket socket = new Socket("127.0.0.1", fixture.address().port())) {
        write(socket, HEAD);
        assertThat(fixture.gateway().isDrained()).isFalse();
        stop(fixture);
        socket.close();
        await(fixture, fixture.gateway()::isDrained);
      }
    }

    // Guards against a stop that drops requests which were read while one before them ran.
    @Test
    void isAnsweredIfItWaitsForItsTurn() throws Exception {
      CountDownLatch stopped = new CountDownLatch(1);
      ScriptedHttpEndpoint.Script script =
          (request, connection) -> {
            Latches.await(stopped);
            connection.respond(200, request.id(), "proof: p\r\n", "good");
          };
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(time, endpoint);
          Socket socket = new Socket("127.0.0.1", fixture.address().port())) {
        socket.setSoTimeout(5_000);
        new RawCaller(socket, 5_000).send("POST", "/post/a", "1", "2", "3");
        fixture.awaitCounter("clementineford_entry_requests_read_total", "", 3);
        stop(fixture);
        stopped.countDown();
        String answers =
            new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertThat(answers.split("HTTP/1.1 200", -1)).hasSize(4);
        await(fixture, fixture.gateway()::isDrained);
      }
    }

    // Guards against a stop that closes the connection of a request of which a part has arrived.
    @Test
    void isAnsweredIfItsHeadHadArrivedInPart() throws Exception {
      try (ScriptedHttpEndpoint endpoint =
              new ScriptedHttpEndpoint(
                  (request, connection) ->
                      connection.respond(200, request.id(), "proof: p\r\n", "good"));
          GatewayFixture fixture = new GatewayFixture(time, endpoint);
          Socket socket = new Socket("127.0.0.1", fixture.address().port())) {
        socket.setSoTimeout(5_000);
        write(socket, HEAD);
        awaitConnection(fixture);
        time.advance(100, TimeUnit.MILLISECONDS);
        stop(fixture);
        assertThat(fixture.gateway().isDrained()).isFalse();
        write(socket, "id: r\r\n\r\nbody");
        String answer =
            new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertThat(answer).startsWith("HTTP/1.1 200").endsWith("good");
        assertThat(answer.toLowerCase(Locale.ROOT)).contains("connection: close");
        await(fixture, fixture.gateway()::isDrained);
      }
    }
  }

  @Nested
  class EstablishedConnection {
    private static final int CALLERS = 40;

    // Guards against callers that are reset because the process had not accepted them yet.
    @Test
    void isAcceptedAndItsRequestIsAnsweredOrRefused() throws Exception {
      try (ScriptedHttpEndpoint endpoint =
              new ScriptedHttpEndpoint(
                  (request, connection) ->
                      connection.respond(200, request.id(), "proof: p\r\n", "good"));
          GatewayFixture fixture = new GatewayFixture(time, endpoint)) {
        fixture.beginStop();
        List<RawCaller> callers = new ArrayList<>();
        fixture.run(
            () -> {
              for (int i = 0; i < CALLERS; i++) {
                callers.add(connectAndSend(fixture));
              }
              fixture.gateway().stopAccepting();
            });
        for (RawCaller caller : callers) {
          RawAnswer answer = RawAnswer.read(caller.socket().getInputStream());
          assertThat(answer.status()).isIn(200, 503);
          assertThat(answer.headers()).containsEntry("Connection", "close");
        }
        await(fixture, fixture.gateway()::isDrained);
      }
    }

    /** Connects and sends while the event loop is busy, so that it cannot accept. */
    private RawCaller connectAndSend(GatewayFixture fixture) {
      try {
        RawCaller caller = RawCaller.connect(fixture, 2_000);
        caller.socket().setSoTimeout(5_000);
        caller.send("POST", "/post/a", "1");
        return caller;
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  @Nested
  class Answer {
    // Guards against a close at the end of a stream that did not announce it, when its caller may
    // have sent the next request.
    @Test
    void closesItsConnectionOnlyIfAnnounced() throws Exception {
      CountDownLatch stopped = new CountDownLatch(1);
      ScriptedHttpEndpoint.Script script =
          (request, connection) -> {
            connection.startEventStream(request.id());
            connection.writeChunk("id: 1\ndata: a\n\n");
            Latches.await(stopped);
            connection.write("0\r\n\r\n");
          };
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(time, endpoint);
          Socket socket = new Socket("127.0.0.1", fixture.address().port())) {
        socket.setSoTimeout(5_000);
        RawCaller caller = new RawCaller(socket, 1_000);
        caller.send("POST", "/stream/a", "1");
        readUntil(socket, "data: a\n\n\r\n");
        stop(fixture);
        stopped.countDown();
        assertThat(readUntil(socket, "0\r\n\r\n")).endsWith("0\r\n\r\n");
        caller.send("POST", "/none/a", "2");
        String answer =
            new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertThat(answer).startsWith("HTTP/1.1 404").containsIgnoringCase("connection: close");
        await(fixture, fixture.gateway()::isDrained);
      }
    }

    // Guards against a stop that cuts off answers which wait in memory for their callers to read.
    @Test
    void isWrittenToItsEnd() throws Exception {
      try (ScriptedHttpEndpoint endpoint = longAnswers();
          GatewayFixture fixture = new GatewayFixture(time, endpoint);
          Socket socket = new Socket("127.0.0.1", fixture.address().port())) {
        socket.setSoTimeout(5_000);
        awaitAnswersInMemory(fixture, endpoint, socket);
        time.advance(1, TimeUnit.SECONDS);
        stop(fixture);
        assertThat(fixture.gateway().isDrained()).isFalse();
        assertThat(socket.getInputStream().readNBytes(2 * LONG_BODY.length()))
            .hasSize(2 * LONG_BODY.length());
        // The idle time counts from the first check after the last write.
        await(
            fixture,
            () -> {
              time.advance(1, TimeUnit.SECONDS);
              return fixture.gateway().isDrained();
            });
        assertThat(socket.getInputStream().readAllBytes()).isNotEmpty();
      }
    }
  }

  @Nested
  class IdleConnection {
    // Guards against a process that ends on counts from before the stop, with a caller connected.
    @Test
    void isCountedWhenTheStopBegins() throws Exception {
      try (GatewayFixture fixture = new GatewayFixture(time);
          Socket socket = new Socket("127.0.0.1", fixture.address().port())) {
        socket.setSoTimeout(5_000);
        // The answer proves that the connection was accepted, which no count shows yet.
        new RawCaller(socket, 1_000).send("POST", "/none/a", "1");
        assertThat(readUntil(socket, "\r\n\r\n")).startsWith("HTTP/1.1 404");
        assertThat(fixture.gateway().openCallerConnections()).isZero();
        fixture.beginStop();
        AtomicBoolean drained = new AtomicBoolean(true);
        fixture.run(
            () -> {
              fixture.gateway().stopAccepting();
              drained.set(fixture.gateway().isDrained());
            });
        assertThat(drained).isFalse();
        socket.close();
        await(fixture, fixture.gateway()::isDrained);
      }
    }

    // Guards against connections, with answers in memory, that stay open because their callers do
    // not read.
    @Test
    void isClosedIfItsCallerDoesNotRead() throws Exception {
      try (ScriptedHttpEndpoint endpoint = longAnswers();
          GatewayFixture fixture = new GatewayFixture(time, endpoint);
          Socket socket = new Socket("127.0.0.1", fixture.address().port())) {
        awaitAnswersInMemory(fixture, endpoint, socket);
        awaitCounted(
            fixture,
            () -> {
              time.advance(30, TimeUnit.SECONDS);
              return fixture.gateway().openCallerConnections() == 0;
            });
      }
    }

    // Guards against a stop that lasts until callers close their connections.
    @Test
    void isClosed() throws Exception {
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint((request, connection) -> {});
          GatewayFixture fixture = new GatewayFixture(time, endpoint);
          Socket socket = new Socket("127.0.0.1", fixture.address().port())) {
        socket.setSoTimeout(5_000);
        awaitConnection(fixture);
        time.advance(1, TimeUnit.SECONDS);
        stop(fixture);
        assertThat(socket.getInputStream().read()).isEqualTo(-1);
        await(fixture, fixture.gateway()::isDrained);
      }
    }
  }
}
