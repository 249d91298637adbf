package org.clementineford.endpoint.internal.requests;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.timeline.EventKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class LocalBackEndTest {
  private EndpointFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new EndpointFixture(1);
  }

  @AfterEach
  void stop() {
    fixture.close();
  }

  // Guards against requests that wait for a back end that is down, and against a back end that
  // stays marked down after it has recovered.
  @Test
  void refusedConnectionMarksBackEndDownUntilProbeSucceeds() throws Exception {
    final RecordingExchange running = fixture.dispatch("1", dispatch -> {});
    fixture.nextCall();
    final RecordingExchange queued = fixture.dispatch("2", dispatch -> {});
    fixture.stopBackEnd();
    assertThat(running.awaitLast().getRefusal().getRun().name()).isEqualTo("UNKNOWN");
    assertThat(queued.awaitLast().getRefusal().getKind()).isEqualTo("back-end-down");
    RecordingExchange refused = fixture.dispatch("3", EndpointFixture::reservation);
    assertThat(refused.awaitLast().getRefusal().getRun().name()).isEqualTo("NOT_RUN");

    fixture.restartBackEnd();
    fixture.time.advance(1, TimeUnit.SECONDS);
    EndpointFixture.await(this::isUp);
    RecordingExchange accepted = fixture.dispatch("4", dispatch -> {});
    EndpointFixture.answer(fixture.nextCall(), "done");
    assertThat(accepted.awaitLast().isSetAnswerEnd()).isTrue();
  }

  // Guards against refusing requests because one of several engines is down.
  @Test
  void runsRequestsOnAnotherEngineIfOneIsDown() throws Exception {
    HostPort closed;
    try (ServerSocket socket = new ServerSocket(0)) {
      closed = new HostPort("127.0.0.1", socket.getLocalPort());
    }
    try (EndpointFixture two = new EndpointFixture(1, closed)) {
      for (int i = 0; i < 3; i++) {
        RecordingExchange exchange = two.dispatch("two-" + i, dispatch -> {});
        EndpointFixture.answer(two.nextCall(), "done");
        assertThat(exchange.awaitLast().isSetAnswerEnd()).isTrue();
        two.awaitIdle();
      }
    }
  }

  private boolean isUp() {
    return fixture.timeline.after(0, 100).stream()
        .filter(event -> event.kind() == EventKind.BACK_END_UP)
        .anyMatch(event -> event.attributes().containsValue("assistant"));
  }
}
