package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LeavingEndpointTest {
  private static final String PROOF = "proof: p\r\n";

  private static ScriptedHttpEndpoint.Script answer(int status, String headers) {
    return (request, connection) -> connection.respond(status, request.id(), PROOF + headers, "ok");
  }

  // Guards against requests to an endpoint that says in an answer of any kind that it is leaving.
  @ParameterizedTest
  @CsvSource({"200, leaving: 1", "500, leaving: 1", "503, leaving: 1", "421, leaving: 1"})
  void getsNoRequestAfterItSaysSo(int status, String header) throws Exception {
    String headers = header + "\r\n" + (status == 503 ? "not-run: 1\r\n" : "");
    try (ScriptedHttpEndpoint leaving = new ScriptedHttpEndpoint(answer(status, headers));
        ScriptedHttpEndpoint other = new ScriptedHttpEndpoint(answer(200, ""));
        GatewayFixture fixture = new GatewayFixture(leaving, other)) {
      for (int i = 0; i < 20; i++) {
        assertThat(fixture.send("GET", "/get/a", "r" + i).statusCode()).isEqualTo(200);
      }
      assertThat(leaving.requests()).hasSizeLessThanOrEqualTo(1);
    }
  }

  // Guards against a mark that an endpoint loses because its listing still shows it as serving, and
  // one that outlives its incarnation.
  @Test
  void staysLeavingUntilItsIncarnationChanges() throws Exception {
    try (ScriptedHttpEndpoint leaving = new ScriptedHttpEndpoint(answer(200, "leaving: 1\r\n"));
        GatewayFixture fixture = new GatewayFixture(leaving)) {
      assertThat(fixture.send("GET", "/get/a", "r1").statusCode()).isEqualTo(200);
      fixture.list(List.of(leaving), 1);
      assertThat(fixture.send("GET", "/get/a", "r2").statusCode()).isEqualTo(503);
      fixture.list(List.of(leaving), 2);
      assertThat(fixture.send("GET", "/get/a", "r3").statusCode()).isEqualTo(200);
    }
  }

  // Guards against ending requests that an endpoint is at work on when it says that it is leaving,
  // and against connections to it that are kept.
  @Test
  void completesItsRequestsAndKeepsNoConnections() throws Exception {
    CountDownLatch received = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    CountDownLatch closed = new CountDownLatch(2);
    ScriptedHttpEndpoint.Script script =
        (request, connection) -> {
          if (request.id().equals("slow")) {
            received.countDown();
            Latches.await(release);
          }
          connection.respond(200, request.id(), PROOF + "leaving: 1\r\n", "ok");
          connection.socket().setSoTimeout(3_000);
          if (connection.socket().getInputStream().read() < 0) {
            closed.countDown();
          }
        };
    try (ScriptedHttpEndpoint leaving = new ScriptedHttpEndpoint(script);
        GatewayFixture fixture = new GatewayFixture(leaving)) {
      final CompletableFuture<HttpResponse<String>> slow =
          fixture.sendAsync("POST", "/post/a", "slow");
      assertThat(received.await(5, TimeUnit.SECONDS)).isTrue();
      assertThat(fixture.send("GET", "/get/a", "quick").statusCode()).isEqualTo(200);
      release.countDown();
      assertThat(slow.get(5, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
      assertThat(closed.await(2, TimeUnit.SECONDS)).isTrue();
    }
  }
}
