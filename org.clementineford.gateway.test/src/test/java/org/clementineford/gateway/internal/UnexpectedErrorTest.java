package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.slf4j.LoggerFactory;

@Timeout(value = 20, unit = TimeUnit.SECONDS)
class UnexpectedErrorTest {
  private static final String READ = "clementineford_entry_requests_read_total";
  private static final String ENDED = "clementineford_entry_requests_total";
  private static final String CLOSES = "clementineford_entry_caller_closes_total";

  private final Logger logger =
      (Logger) LoggerFactory.getLogger("org.clementineford.gateway.internal");
  private final ListAppender<ILoggingEvent> lines = new ListAppender<>();

  private final ScriptedHttpEndpoint.Script answering =
      (request, connection) -> connection.respond(200, request.id(), "proof: p\r\n", "good");

  @BeforeEach
  void recordLines() {
    lines.list = new CopyOnWriteArrayList<>();
    lines.start();
    logger.addAppender(lines);
  }

  @AfterEach
  void stopRecording() {
    logger.detachAppender(lines);
  }

  private static void fail() {
    throw new IllegalStateException("fault of the test");
  }

  private static void runOutOfMemory() {
    throw new OutOfMemoryError("fault of the test");
  }

  private void assertLoggedOnceWithStack() {
    List<ILoggingEvent> errors =
        lines.list.stream().filter(line -> line.getLevel() == Level.ERROR).toList();
    assertThat(errors).hasSize(1);
    assertThat(errors.get(0).getThrowableProxy().getMessage()).isEqualTo("fault of the test");
  }

  private static void assertNothingLeft(GatewayFixture fixture) throws Exception {
    fixture.closeIdleGateway();
    assertThat(fixture.counter(ENDED, "")).isEqualTo(fixture.counter(READ, ""));
  }

  @Nested
  class RequestThatWasNotSent {
    // Guards against a request that an error ends without an answer, and stays in progress.
    @Test
    void isRefusedAfterAnErrorInDecodingIt() throws Exception {
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(answering);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        fixture.whileProcessing("broken", UnexpectedErrorTest::fail);
        assertThat(fixture.send("GET", "/get/a", "broken").statusCode()).isEqualTo(503);
        assertThat(fixture.counter(ENDED, "INTERNAL_ERROR")).isEqualTo(1);
        assertLoggedOnceWithStack();
        assertNothingLeft(fixture);
      }
    }

    // Guards against an error of the virtual machine that ends more than its own request.
    @Test
    void isRefusedIfMemoryRunsOut() throws Exception {
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(answering);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        fixture.protocol().whileEncoding("broken", UnexpectedErrorTest::runOutOfMemory);
        assertThat(fixture.send("POST", "/post/a", "broken").statusCode()).isEqualTo(503);
        assertThat(fixture.send("POST", "/post/a", "sound").statusCode()).isEqualTo(200);
        assertLoggedOnceWithStack();
        assertNothingLeft(fixture);
      }
    }

    // Guards against an error of one request that ends the requests on the same connection.
    @Test
    void doesNotEndThoseBehindIt() throws Exception {
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(answering);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        fixture.protocol().whileEncoding("broken", UnexpectedErrorTest::fail);
        RawCaller caller = RawCaller.connect(fixture, 5_000);
        caller.send("POST", "/post/a", "broken", "sound");
        fixture.awaitCounter(ENDED, "ANSWERED_200", 1);
        assertThat(fixture.counter(ENDED, "INTERNAL_ERROR")).isEqualTo(1);
        assertNothingLeft(fixture);
      }
    }
  }

  @Nested
  class UnfinishedRequest {
    // Guards against an error with its stack for each caller that leaves before its body ends.
    @Test
    void isNoErrorIfItsCallerLeaves() throws Exception {
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(answering);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        try (Socket caller = new Socket("127.0.0.1", fixture.address().port())) {
          caller
              .getOutputStream()
              .write(
                  "POST /post/a HTTP/1.1\r\nHost: h\r\nid: 1\r\nContent-Length: 9\r\n\r\nhalf"
                      .getBytes(StandardCharsets.US_ASCII));
        }
        fixture.awaitCounter(CLOSES, "BY_CALLER", 1);
        fixture.run(() -> {});
        assertThat(lines.list).noneMatch(line -> line.getLevel() == Level.ERROR);
      }
    }
  }

  @Nested
  class RequestThatMayHaveRun {
    // Guards against an error after a send that is taken for one before it, or goes unanswered.
    @Test
    void isNotPromisedToHaveNotRun() throws Exception {
      CountDownLatch reset = new CountDownLatch(1);
      ScriptedHttpEndpoint.Script resetting =
          (request, connection) -> {
            reset.countDown();
            connection.reset();
          };
      try (ScriptedHttpEndpoint first = new ScriptedHttpEndpoint(resetting);
          ScriptedHttpEndpoint second = new ScriptedHttpEndpoint(resetting);
          GatewayFixture fixture = new GatewayFixture(first, second)) {
        fixture.protocol().whileEncodingAgain("broken", UnexpectedErrorTest::fail);
        HttpResponse<String> response = fixture.send("GET", "/get/a", "broken");
        Latches.await(reset);
        assertThat(response.statusCode()).isEqualTo(502);
        assertThat(first.requests().size() + second.requests().size()).isEqualTo(1);
        assertLoggedOnceWithStack();
        assertNothingLeft(fixture);
      }
    }
  }

  @Nested
  class StreamWhoseEventIdCannotBeSent {
    private String read(Socket caller) throws Exception {
      return new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    private void assertCutAfter(String id) throws Exception {
      CountDownLatch read = new CountDownLatch(1);
      ScriptedHttpEndpoint.Script script =
          (request, connection) -> {
            connection.startEventStream(request.id());
            connection.writeChunk("id: 1\ndata: a\n\n");
            connection.writeChunk("id: " + id + "\ndata: b\n\n");
            Latches.await(read);
            connection.reset();
          };
      try (ScriptedHttpEndpoint first = new ScriptedHttpEndpoint(script);
          ScriptedHttpEndpoint second = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(first, second);
          Socket caller = new Socket("127.0.0.1", fixture.address().port())) {
        caller.setSoTimeout(5_000);
        new RawCaller(caller, 1_900).send("POST", "/stream/a", "s");
        String answer = "";
        while (!answer.contains("data: b")) {
          answer += (char) caller.getInputStream().read();
        }
        read.countDown();
        assertThat(read(caller)).doesNotContain("data: a").doesNotContain("0\r\n\r\n");
        assertThat(first.requests().size() + second.requests().size()).isEqualTo(1);
        fixture.awaitCounter(ENDED, "BROKEN_OFF", 1);
        assertThat(lines.list.stream().filter(line -> line.getLevel() == Level.ERROR)).isEmpty();
        assertNothingLeft(fixture);
      }
    }

    // Guards against a stream that stays open until its deadline after its engine failed.
    @Test
    void endsWithItsEngine() throws Exception {
      assertCutAfter("2" + (char) 11 + "3");
    }

    // Guards against a stream that is continued at an event other than the one passed on last.
    @Test
    void isNotContinuedAtAnEarlierEvent() throws Exception {
      assertCutAfter("2" + (char) 0);
    }
  }
}
