package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
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
}
