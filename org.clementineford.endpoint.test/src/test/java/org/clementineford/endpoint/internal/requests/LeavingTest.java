package org.clementineford.endpoint.internal.requests;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.clementineford.configuration.ConfigurationSnapshot;
import org.clementineford.configuration.Policies;
import org.clementineford.transport.http.HttpExchange;
import org.clementineford.wire.LoadReport;
import org.clementineford.wire.Payload;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class LeavingTest {
  private static final ConfigurationSnapshot LEAVING =
      new ConfigurationSnapshot(
          1, Map.of(), Map.of(), Map.of(), Set.of(), Set.of("endpoint-1"), Policies.DEFAULT);

  private final StringBuilder transcript = new StringBuilder();
  private EndpointFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new EndpointFixture(1);
  }

  @AfterEach
  void stop() {
    fixture.close();
  }

  private static LoadReport next(LinkedBlockingQueue<LoadReport> reports) throws Exception {
    return reports.poll(5, TimeUnit.SECONDS);
  }

  // Guards against entry VMs that are notified late, or never, that the configuration document
  // removes an endpoint.
  @Test
  void leavingByConfigurationIsReportedAtOnceAndRefusesNewWork() throws Exception {
    LinkedBlockingQueue<LoadReport> near = fixture.addEntryVm("entry-1", "lorient");
    LinkedBlockingQueue<LoadReport> far = fixture.addEntryVm("entry-2", "paris");
    fixture.configure(LEAVING);
    assertThat(next(near).isLeaving()).isTrue();
    assertThat(next(far).isLeaving()).isTrue();
    RecordingExchange refused = fixture.dispatch("1", dispatch -> {});
    assertThat(refused.awaitLast().getRefusal().getKind()).isEqualTo("leaving");
    fixture.configure(ConfigurationSnapshot.EMPTY);
    fixture.dispatch("2", dispatch -> {});
    EndpointFixture.answer(fixture.nextCall(), "done");
  }

  // Guards against a planned stop that aborts running or queued requests, or accepts new ones.
  @Test
  void leavingUnderLoadCompletesAcceptedRequests() throws Exception {
    final LinkedBlockingQueue<LoadReport> near = fixture.addEntryVm("entry-1", "lorient");
    final LinkedBlockingQueue<LoadReport> far = fixture.addEntryVm("entry-2", "paris");
    final RecordingExchange running = fixture.dispatch("1", dispatch -> {});
    final HttpExchange first = fixture.nextCall();
    final RecordingExchange queued = fixture.dispatch("2", EndpointFixture::reservation);
    final RecordingExchange waiting = fixture.dispatch("3", dispatch -> {});
    log("requests 1, 2 and 3 were dispatched; one slot for each back end");
    fixture.advance(1000);
    log("entry-1", Payload.loadReport(next(near)));

    fixture.advance(200);
    final CompletableFuture<Void> drained = fixture.drain(30_000);
    log("endpoint-1 starts to leave");
    log("entry-1", Payload.loadReport(next(near)));
    log("entry-2", Payload.loadReport(next(far)));
    RecordingExchange late = fixture.dispatch("4", dispatch -> {});
    late.awaitLast();
    log("request 4", late);

    fixture.advance(800);
    log("entry-1", Payload.loadReport(next(near)));
    assertThat(drained).isNotDone();
    EndpointFixture.answer(first, "one ", "two");
    running.awaitLast();
    log("request 1", running);
    EndpointFixture.answer(fixture.nextCall(), "lot 5");
    queued.awaitLast();
    log("request 2", queued);
    EndpointFixture.answer(fixture.nextCall(), "three");
    waiting.awaitLast();
    log("request 3", waiting);
    fixture.awaitIdle();

    fixture.advance(450);
    assertThat(drained).isNotDone();
    fixture.advance(100);
    assertThat(drained).isDone();
    log("endpoint-1 may stop");
    assertThat(transcript.toString()).isEqualTo(expectedTranscript());
  }

  private void log(String line) {
    long now = TimeUnit.NANOSECONDS.toMillis(fixture.time.nanoTime());
    transcript.append(now).append(" ms: ").append(line).append('\n');
  }

  private void log(String receiver, Payload payload) {
    log(receiver + " receives " + payload.getFieldValue());
  }

  private void log(String receiver, RecordingExchange exchange) {
    exchange.payloads().forEach(payload -> log(receiver, payload));
  }

  private static String expectedTranscript() throws Exception {
    try (InputStream file = LeavingTest.class.getResourceAsStream("leaving-endpoint.txt")) {
      return new String(file.readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
