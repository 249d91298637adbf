package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.SocketException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PromptPartCrashesEnginesTest {
  private static final String CRASHING_PART = "c0ffee";

  private final List<ScriptedHttpEndpoint> engines = new ArrayList<>();

  /** Starts an engine that crashes when it begins to answer a prompt with the crashing part. */
  private void startEngine() throws IOException {
    int index = engines.size();
    engines.add(
        new ScriptedHttpEndpoint(
            (request, connection) -> {
              if (request.headers().getOrDefault("parts", "").contains(CRASHING_PART)) {
                engines.get(index).crash();
                return;
              }
              connection.startEventStream(request.id());
              connection.writeChunk("id: 1\ndata: a\n\n");
              connection.write("0\r\n\r\n");
            }));
  }

  private long requestsWithCrashingPart() {
    return engines.stream()
        .flatMap(engine -> engine.requests().stream())
        .filter(request -> request.headers().getOrDefault("parts", "").contains(CRASHING_PART))
        .count();
  }

  @AfterEach
  void closeEngines() throws IOException {
    for (ScriptedHttpEndpoint engine : engines) {
      engine.close();
    }
  }

  // Guards against sending a prompt part that has ended engines to one engine after the other.
  @Test
  void isNotSentToFurtherEngines() throws Exception {
    for (int i = 0; i < 12; i++) {
      startEngine();
    }
    try (GatewayFixture fixture =
        new GatewayFixture(engines.toArray(ScriptedHttpEndpoint[]::new))) {
      for (int i = 0; i < 20; i++) {
        fixture.send("POST", "/stream/a", "c" + i, "parts", "5aed," + CRASHING_PART);
        assertThat(fixture.send("POST", "/stream/a", "s" + i, "parts", "5aed,b" + i).statusCode())
            .isEqualTo(200);
      }
      assertThat(requestsWithCrashingPart()).isLessThanOrEqualTo(5);
    }
  }

  private void crashThreeEngines(GatewayFixture fixture) throws Exception {
    for (int i = 0; i < 3; i++) {
      fixture.send("POST", "/stream/a", "c" + i, "parts", CRASHING_PART);
    }
  }

  // Guards against a wait, or an invitation to return soon, for a request that cannot be served.
  @Test
  void isRefusedAtOnceForTheTimeOfItsQuarantine() throws Exception {
    for (int i = 0; i < 6; i++) {
      startEngine();
    }
    try (GatewayFixture fixture =
        new GatewayFixture(engines.toArray(ScriptedHttpEndpoint[]::new))) {
      crashThreeEngines(fixture);
      final long sent = requestsWithCrashingPart();
      HttpResponse<String> refusal =
          fixture.send("POST", "/stream/a", "r", "parts", "5aed," + CRASHING_PART);
      assertThat(refusal.statusCode()).isEqualTo(503);
      assertThat(refusal.headers().firstValue("retry-after").map(Double::parseDouble).get())
          .isGreaterThan(500);
      assertThat(requestsWithCrashingPart()).isEqualTo(sent);
    }
  }

  // Guards against further crashes by requests that were sent before their part was quarantined.
  @Test
  void isWithdrawnFromEnginesThatHaveNotBegunToAnswer() throws Exception {
    CountDownLatch received = new CountDownLatch(1);
    CountDownLatch withdrawn = new CountDownLatch(1);
    engines.add(
        new ScriptedHttpEndpoint(
            (request, connection) -> {
              received.countDown();
              connection.socket().setSoTimeout(5_000);
              try {
                connection.socket().getInputStream().read();
              } catch (SocketException e) {
                withdrawn.countDown(); // The gateway reset the connection.
              }
            }));
    for (int i = 0; i < 6; i++) {
      startEngine();
    }
    try (GatewayFixture fixture =
        new GatewayFixture(engines.toArray(ScriptedHttpEndpoint[]::new))) {
      final CompletableFuture<HttpResponse<String>> waiting =
          fixture.sendAsync("POST", "/stream/a", "w", "parts", CRASHING_PART);
      assertThat(received.await(5, TimeUnit.SECONDS)).isTrue();
      crashThreeEngines(fixture);
      assertThat(withdrawn.await(1, TimeUnit.SECONDS)).isTrue();
      assertThat(waiting.get(1, TimeUnit.SECONDS).statusCode()).isEqualTo(502);
    }
  }

  // Guards against taking answers that sound engines break off for crashes.
  @Test
  void isNotBlamedWhenEnginesThatRunBreakAnswersOff() throws Exception {
    for (int i = 0; i < 6; i++) {
      engines.add(
          new ScriptedHttpEndpoint(
              (request, connection) -> {
                if (request.id().startsWith("broken")) {
                  connection.reset();
                  return;
                }
                connection.startEventStream(request.id());
                connection.writeChunk("id: 1\ndata: a\n\n");
                connection.write("0\r\n\r\n");
              }));
    }
    try (GatewayFixture fixture =
        new GatewayFixture(engines.toArray(ScriptedHttpEndpoint[]::new))) {
      for (int i = 0; i < 4; i++) {
        fixture.send("POST", "/stream/a", "broken" + i, "parts", "part");
      }
      assertThat(fixture.send("POST", "/stream/a", "s", "parts", "part").statusCode())
          .isEqualTo(200);
    }
  }
}
