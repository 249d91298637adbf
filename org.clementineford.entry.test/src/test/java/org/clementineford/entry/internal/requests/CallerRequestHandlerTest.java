package org.clementineford.entry.internal.requests;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CallerRequestHandlerTest {
  private static final String CHAT = "/v1/chat/completions";
  private static final String TOKEN = "Bearer " + VirtualTimeFleet.TOKEN;

  private final VirtualTimeFleet fleet = new VirtualTimeFleet();
  private final VirtualTimeFleet.Entry entry = fleet.entry(1);

  private long after(long milliseconds) {
    return fleet.time.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }

  private void advanceBriefly() {
    fleet.time.advance(50, TimeUnit.MILLISECONDS);
  }

  @Nested
  class Checks {
    private void assertRefused(FakeCall call, int status) {
      assertThat(call.status).isEqualTo(status);
      assertThat(call.run()).isEqualTo("not-run");
      assertThat(call.headers).containsKey("Clementineford-Request");
    }

    // Guards against accepting requests of callers without a client account.
    @Test
    void refuseUnknownTokens() {
      assertRefused(entry.call("POST", CHAT, Map.of(), "{}"), 401);
      assertRefused(entry.call("POST", CHAT, Map.of("Authorization", "Bearer x"), "{}"), 401);
    }

    // Guards against dispatching requests that fail only at the endpoint.
    @Test
    void refuseUnknownModelsServicesAndPaths() {
      Map<String, String> headers = Map.of("Authorization", TOKEN);
      assertRefused(entry.call("POST", CHAT, headers, "{\"model\":\"other\"}"), 404);
      assertRefused(entry.call("GET", "/services/other/stock", headers, ""), 404);
      assertRefused(entry.call("GET", "/elsewhere", headers, ""), 404);
    }

    // Guards against ignoring malformed headers, which would silently change the request.
    @Test
    void refuseMalformedHeaders() {
      for (Map.Entry<String, String> header :
          Map.of(
                  "Clementineford-Idempotent", "maybe",
                  "Clementineford-Priority", "high",
                  "Clementineford-Timeout-Ms", "-1",
                  "Idempotency-Key", "k".repeat(257))
              .entrySet()) {
        Map<String, String> headers =
            Map.of("Authorization", TOKEN, header.getKey(), header.getValue());
        assertRefused(entry.call("POST", "/services/reservations/reservations", headers, ""), 400);
      }
      assertRefused(entry.call("POST", CHAT, Map.of("Authorization", TOKEN), "no JSON"), 400);
    }
  }

  @Nested
  class Memory {
    // Guards against an account that uses up the memory of the entry VM.
    @Test
    void beyondTheLimitIsRefusedAndReleasedAfterTheRequests() {
      fleet.endpoints.values().forEach(e -> e.behavior = FakeEndpoint.Behavior.KEEP_RUNNING);
      FakeCall last = fleet.chat(entry, false);
      int accepted = 0;
      while (last.status == 0) {
        accepted++;
        last = fleet.chat(entry, false);
      }
      assertThat(last.status).isEqualTo(429);
      assertThat(last.headers).containsKey("Retry-After");
      // 1 MiB divided by 16 KiB plus the body for each request.
      assertThat(accepted).isBetween(60, 64);
      advanceBriefly();
      fleet.endpoints.values().forEach(FakeEndpoint::finishRuns);
      assertThat(fleet.chat(entry, false).status).isZero();
    }
  }

  @Nested
  class Stop {
    // Guards against a planned stop that interrupts requests in flight or accepts new ones.
    @Test
    void refusesNewRequestsAndWaitsForThoseInFlight() {
      fleet.endpoints.values().forEach(e -> e.behavior = FakeEndpoint.Behavior.KEEP_RUNNING);
      final FakeCall inFlight = fleet.chat(entry, true);
      advanceBriefly();
      entry.requestHandler.startDrain(after(60_000));
      assertThat(entry.call("GET", "/ready", Map.of(), "").status).isEqualTo(503);
      assertThat(fleet.chat(entry, false).status).isZero();
      CompletableFuture<Void> idle = entry.requestHandler.refuseNewRequests();
      FakeCall refused = fleet.chat(entry, false);
      assertThat(refused.status).isEqualTo(503);
      assertThat(refused.run()).isEqualTo("not-run");
      assertThat(refused.headers).containsEntry("Connection", "close");
      assertThat(idle).isNotDone();
      advanceBriefly();
      fleet.endpoints.values().forEach(FakeEndpoint::finishRuns);
      assertThat(inFlight.complete).isTrue();
      fleet.time.advance(600, TimeUnit.MILLISECONDS);
      assertThat(idle).isDone();
    }

    // Guards against closing a keep-alive connection while a request is on its way.
    @Test
    void waitsUntilNoMoreRequestsArrive() {
      CompletableFuture<Void> idle = entry.requestHandler.refuseNewRequests();
      for (int i = 0; i < 10; i++) {
        fleet.time.advance(400, TimeUnit.MILLISECONDS);
        assertThat(fleet.chat(entry, false).status).isEqualTo(503);
        assertThat(idle).isNotDone();
      }
      fleet.time.advance(600, TimeUnit.MILLISECONDS);
      assertThat(idle).isDone();
    }
  }
}
