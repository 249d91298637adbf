package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

class CallerCountersTest {
  private static final String READ = "clementineford_entry_requests_read_total";
  private static final String ENDED = "clementineford_entry_requests_total";
  private static final String CLOSES = "clementineford_entry_caller_closes_total";
  private static final String UNANSWERED = "clementineford_entry_requests_unanswered_total";

  private final Logger logger = (Logger) LoggerFactory.getLogger(CallerConnection.class);
  private final ListAppender<ILoggingEvent> lines = new ListAppender<>();
  private final CountDownLatch arrived = new CountDownLatch(1);
  private final CountDownLatch end = new CountDownLatch(1);

  private final ScriptedHttpEndpoint.Script script =
      (request, connection) -> {
        if (request.id().startsWith("slow")) {
          arrived.countDown();
          Latches.await(end);
        }
        connection.respond(200, request.id(), "proof: p\r\n", "good");
      };

  @BeforeEach
  void recordLines() {
    lines.list = new CopyOnWriteArrayList<>();
    lines.start();
    logger.addAppender(lines);
  }

  @AfterEach
  void stopRecording() {
    logger.detachAppender(lines);
    end.countDown();
  }

  private List<ILoggingEvent> unansweredLines() {
    return lines.list.stream()
        .filter(line -> line.getMessage().contains("read and not answered"))
        .toList();
  }

  private static String field(ILoggingEvent line, String name) {
    return line.getKeyValuePairs().stream()
        .filter(pair -> pair.key.equals(name))
        .map(pair -> String.valueOf(pair.value))
        .findFirst()
        .orElse("");
  }

  @Nested
  class RequestsRead {
    // Guards against requests that are read and leave no trace of their end.
    @Test
    void equalRequestsEnded() throws Exception {
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        assertThat(fixture.send("GET", "/get/a", "answered").statusCode()).isEqualTo(200);
        assertThat(fixture.send("GET", "/none/a", "refused").statusCode()).isEqualTo(404);
        try (Socket malformed = new Socket("127.0.0.1", fixture.address().port())) {
          malformed
              .getOutputStream()
              .write("what is this\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
          assertThat(new String(malformed.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
              .startsWith("HTTP/1.1 400");
        }
        RawCaller caller = RawCaller.connect(fixture, 5_000);
        caller.send("POST", "/post/a", "slow", "second", "third");
        Latches.await(arrived);
        fixture.awaitCounter(READ, "", 6);
        caller.close();
        fixture.awaitCounter(ENDED, "CALLER_GONE", 1);
        assertThat(fixture.counter(ENDED, "")).isEqualTo(6);
        assertThat(fixture.counter(ENDED, "MALFORMED")).isEqualTo(1);
        assertThat(fixture.counter(ENDED, "NOT_STARTED")).isEqualTo(2);
        assertThat(fixture.counter(CLOSES, "AFTER_ANSWER")).isEqualTo(1);
        assertThat(fixture.counter(CLOSES, "BY_CALLER")).isEqualTo(1);
        assertThat(fixture.counter(UNANSWERED, "BY_CALLER")).isEqualTo(3);
      }
    }
  }

  @Nested
  class ClosedConnection {
    // Guards against a close that drops requests without a log line.
    @Test
    void namesTheRequestsThatItHadReadAndNotAnswered() throws Exception {
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        RawCaller caller = RawCaller.connect(fixture, 5_000);
        caller.send("POST", "/post/a", "slow", "second");
        Latches.await(arrived);
        fixture.awaitCounter(READ, "", 2);
        caller.close();
        fixture.awaitCounter(UNANSWERED, "BY_CALLER", 2);
        fixture.run(() -> {});
        assertThat(unansweredLines()).hasSize(1);
        assertThat(unansweredLines().get(0).getLevel()).isEqualTo(Level.INFO);
        assertThat(field(unansweredLines().get(0), "requests")).isEqualTo("[slow, second]");
        assertThat(field(unansweredLines().get(0), "reason")).isEqualTo("BY_CALLER");
      }
    }

    // Guards against a caller that leaves an answer unread and counts as an error of the VM.
    @Test
    void isNotAnErrorIfTheCallerLeftItsAnswerUnread() throws Exception {
      ScriptedHttpEndpoint.Script longAnswer =
          (request, connection) ->
              connection.respond(200, request.id(), "proof: p\r\n", "x".repeat(4_000_000));
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(longAnswer);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        RawCaller caller = RawCaller.connect(fixture, 5_000);
        caller.send("POST", "/post/a", "first", "second");
        fixture.awaitCounter(ENDED, "ANSWERED_200", 2);
        caller.socket().close();
        fixture.awaitCounter(CLOSES, "", 1);
        fixture.run(() -> {});
        assertThat(fixture.counter(CLOSES, "ERROR")).isZero();
        assertThat(fixture.counter(UNANSWERED, "")).isPositive();
      }
    }
  }
}
