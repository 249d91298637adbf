package org.clementineford.endpoint.internal.requests;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.nio.charset.StandardCharsets;
import org.clementineford.requests.RunState;
import org.clementineford.transport.http.HttpExchange;
import org.clementineford.wire.Refusal;
import org.clementineford.wire.RunPhase;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.slf4j.LoggerFactory;

/** Runs that an endpoint has when it begins to stop, and when its time is over. */
@Timeout(30)
class StoppingEndpointTest {
  private static final long DRAIN_MS = 10_000;

  private final Logger logger = (Logger) LoggerFactory.getLogger(RunEvents.class);
  private final ListAppender<ILoggingEvent> lines = new ListAppender<>();
  private EndpointFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new EndpointFixture(1);
    lines.start();
    logger.addAppender(lines);
  }

  @AfterEach
  void stop() {
    logger.detachAppender(lines);
    fixture.close();
  }

  private RecordingExchange dispatch(String id, long timeoutMs) {
    return fixture.dispatch(id, dispatch -> dispatch.setTimeoutMs(timeoutMs));
  }

  private static void assertRefused(RecordingExchange exchange, String kind, RunState run)
      throws Exception {
    Refusal refusal = exchange.awaitLast().getRefusal();
    assertThat(refusal.getKind()).isEqualTo(kind);
    assertThat(refusal.getRun().name()).isEqualTo(run.name());
  }

  @Nested
  class QueuedRun {
    // Guards against a run that waits in the queue until the end of the process cuts it off.
    @Test
    void isRefusedAsNotRunIfItMayOutliveTheProcess() throws Exception {
      dispatch("1", 30_000);
      final HttpExchange first = fixture.nextCall();
      final RecordingExchange late = dispatch("2", DRAIN_MS + 1);
      final RecordingExchange inTime = dispatch("3", DRAIN_MS);
      fixture.drain(DRAIN_MS);
      assertRefused(late, "leaving", RunState.NOT_RUN);
      EndpointFixture.answer(first, "one");
      EndpointFixture.answer(fixture.nextCall(), "three");
      inTime.awaitLast();
      assertThat(inTime.body()).isEqualTo("three");
    }
  }

  @Nested
  class RunLeftAtTheEnd {
    private void assertNamedByOneLine(String id) {
      assertThat(lines.list)
          .filteredOn(
              line ->
                  line.getKeyValuePairs() != null
                      && line.getKeyValuePairs().stream()
                          .anyMatch(pair -> ("request-" + id).equals(pair.value)))
          .hasSize(1);
    }

    // Guards against queued runs that are reported as unknown, so that nobody runs them.
    @Test
    void isRefusedAsNotRunIfItIsQueued() throws Exception {
      dispatch("1", 30_000);
      fixture.nextCall();
      RecordingExchange queued = dispatch("2", DRAIN_MS);
      fixture.drain(DRAIN_MS);
      fixture.endpoint.close();
      assertRefused(queued, "leaving", RunState.NOT_RUN);
      assertNamedByOneLine("2");
      assertThat(fixture.received).isEmpty();
    }

    // Guards against a run that ends without an answer, a report or a line.
    @Test
    void isReportedAsUnknownIfItWasSent() throws Exception {
      final RecordingExchange reservation = fixture.dispatch("1", EndpointFixture::reservation);
      fixture.nextCall();
      final RecordingExchange inquiry = fixture.reportOrRevoke("1", true);
      fixture.drain(DRAIN_MS);
      fixture.endpoint.close();
      assertRefused(reservation, "endpoint-stopped", RunState.UNKNOWN);
      assertThat(inquiry.awaitLast().getRunReport().getPhase()).isNotEqualTo(RunPhase.REVOKED);
      assertNamedByOneLine("1");
    }

    // Guards against a part of an answer that ends without a word.
    @Test
    void isReportedAsRunIfItsAnswerHasStarted() throws Exception {
      final RecordingExchange stream = dispatch("1", 30_000);
      HttpExchange call = fixture.nextCall();
      call.start(200, EndpointFixture.engineHeaders(call));
      call.write("one".getBytes(StandardCharsets.UTF_8));
      stream.awaitFirst();
      fixture.drain(DRAIN_MS);
      fixture.endpoint.close();
      assertRefused(stream, "endpoint-stopped", RunState.RAN);
      assertNamedByOneLine("1");
    }
  }
}
