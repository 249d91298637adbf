package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PausedEndpointTest {
  private static final String PROOF = "proof: p\r\n";

  /** Rejects the first request with a pause, and answers the others. */
  private static ScriptedHttpEndpoint.Script pausing(double seconds) {
    return (request, connection) -> {
      if (request.number() == 0) {
        connection.respond(503, request.id(), "not-run: 1\r\npause: " + seconds + "\r\n", "");
      } else {
        good().answer(request, connection);
      }
    };
  }

  private static ScriptedHttpEndpoint.Script good() {
    return (request, connection) -> {
      if (request.line().contains("/stream/")) {
        connection.startEventStream(request.id());
        connection.writeChunk("id: 1\ndata: a\n\n");
        connection.write("0\r\n\r\n");
      } else {
        connection.respond(200, request.id(), PROOF, "ok");
      }
    };
  }

  // Guards against requests to an endpoint during the pause that it asked for, and against a loss
  // of
  // the request that it turned away.
  @ParameterizedTest
  @CsvSource({"GET, /get/a", "POST, /post/a", "POST, /stream/a"})
  void getsNoRequestDuringItsPause(String method, String path) throws Exception {
    try (ScriptedHttpEndpoint paused = new ScriptedHttpEndpoint(pausing(30));
        ScriptedHttpEndpoint other = new ScriptedHttpEndpoint(good());
        GatewayFixture fixture = new GatewayFixture(paused, other)) {
      for (int i = 0; i < 30; i++) {
        assertThat(fixture.send(method, path, "r" + i).statusCode()).isEqualTo(200);
      }
      assertThat(paused.requests()).hasSizeLessThanOrEqualTo(1);
    }
  }

  // Guards against a wait, or a time of return at which the endpoints are still paused.
  @ParameterizedTest
  @CsvSource({"GET, /get/a", "POST, /stream/a"})
  void leavesRequestsRefusedAtOnceWithTheTimeAtWhichTheFirstPauseEnds(String method, String path)
      throws Exception {
    try (ScriptedHttpEndpoint first = new ScriptedHttpEndpoint(pausing(20));
        ScriptedHttpEndpoint second = new ScriptedHttpEndpoint(pausing(30));
        GatewayFixture fixture = new GatewayFixture(first, second)) {
      fixture.send(method, path, "r1");
      long sentAt = System.nanoTime();
      HttpResponse<String> refused = fixture.send(method, path, "r2");
      assertThat(refused.statusCode()).isEqualTo(503);
      assertThat(System.nanoTime() - sentAt).isLessThan(TimeUnit.SECONDS.toNanos(1));
      assertThat(Double.parseDouble(refused.headers().firstValue("retry-after").get()))
          .isBetween(15.0, 20.0);
      assertThat(first.requests().size() + second.requests().size()).isEqualTo(2);
    }
  }

  // Guards against an endpoint that stays paused, and against a burst when its pause ends.
  @Test
  void returnsStepByStepWhenItsPauseEnds() throws Exception {
    try (ScriptedHttpEndpoint paused = new ScriptedHttpEndpoint(pausing(0.5));
        GatewayFixture fixture = new GatewayFixture(paused)) {
      assertThat(fixture.send("POST", "/post/a", "first").statusCode()).isEqualTo(503);
      while (fixture.send("POST", "/post/a", "next").statusCode() != 200) {
        Thread.yield();
      }
      List<CompletableFuture<HttpResponse<String>>> burst = new ArrayList<>();
      for (int i = 0; i < 30; i++) {
        burst.add(fixture.sendAsync("POST", "/post/a", "b" + i));
      }
      CompletableFuture.allOf(burst.toArray(CompletableFuture[]::new)).get(5, TimeUnit.SECONDS);
      assertThat(paused.requests().size()).isGreaterThanOrEqualTo(2);
    }
  }

  // Guards against a pause that outlives the incarnation that asked for it.
  @Test
  void endsItsPauseWithItsIncarnation() throws Exception {
    try (ScriptedHttpEndpoint paused = new ScriptedHttpEndpoint(pausing(86_400));
        GatewayFixture fixture = new GatewayFixture(paused)) {
      assertThat(fixture.send("GET", "/get/a", "r1").statusCode()).isEqualTo(503);
      assertThat(fixture.send("GET", "/get/a", "r2").statusCode()).isEqualTo(503);
      fixture.list(List.of(paused), 2);
      assertThat(fixture.send("GET", "/get/a", "r3").statusCode()).isEqualTo(200);
    }
  }
}
