package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EndpointRequestLimitTest {
  private static ScriptedHttpEndpoint.Script answerNaming(String headers) {
    return (request, connection) ->
        connection.respond(200, request.id(), "proof: p\r\n" + headers, "id: 1\ndata: a\n\n");
  }

  // Guards against sending an engine more requests than the limit that its answers name.
  @Test
  void namedInAnswersIsKeptWhileOtherEnginesAreFree() throws Exception {
    try (ScriptedHttpEndpoint limited = new ScriptedHttpEndpoint(answerNaming("limit: 1\r\n"));
        ScriptedHttpEndpoint free = new ScriptedHttpEndpoint(answerNaming(""));
        GatewayFixture fixture = new GatewayFixture(limited, free)) {
      for (int i = 0; i < 40; i++) {
        assertThat(fixture.send("POST", "/stream/a", "r" + i).statusCode()).isEqualTo(200);
      }
      // One and a half times what 1 request a second allows in 4 s, and 5 requests.
      assertThat(limited.requests()).hasSizeLessThanOrEqualTo(11);
    }
  }

  // Guards against a wait for an endpoint that accepts no request soon, or an early return.
  @Test
  void leavesRequestsRefusedAtOnceWithTheTimeOfTheNextOne() throws Exception {
    try (ScriptedHttpEndpoint limited = new ScriptedHttpEndpoint(answerNaming("limit: 0.2\r\n"));
        GatewayFixture fixture = new GatewayFixture(limited)) {
      assertThat(fixture.send("GET", "/get/a", "first").statusCode()).isEqualTo(200);
      int refused = 0;
      for (int i = 0; i < 10; i++) {
        long sentAt = System.nanoTime();
        HttpResponse<String> response = fixture.send("GET", "/get/a", "r" + i);
        if (response.statusCode() == 503) {
          refused++;
          assertThat(System.nanoTime() - sentAt).isLessThan(TimeUnit.SECONDS.toNanos(1));
          assertThat(Double.parseDouble(response.headers().firstValue("retry-after").get()))
              .isBetween(0.0, 7.0);
        }
      }
      assertThat(refused).isGreaterThanOrEqualTo(9);
    }
  }

  // Guards against a limit that stays in force when the endpoint no longer names it.
  @Test
  void endsWithTheFirstResponseWithoutIt() throws Exception {
    ScriptedHttpEndpoint.Script once =
        (request, connection) ->
            answerNaming(request.number() == 0 ? "limit: 5\r\n" : "").answer(request, connection);
    try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(once);
        GatewayFixture fixture = new GatewayFixture(endpoint)) {
      for (int i = 0; i < 20; i++) {
        assertThat(fixture.send("POST", "/stream/a", "r" + i).statusCode()).isEqualTo(200);
      }
    }
  }

  // Guards against sending callers away for the time of a limit while another endpoint is only
  // full.
  @Test
  void doesNotDelayTheReturnToEndpointsThatAreOnlyFull() throws Exception {
    CountDownLatch received = new CountDownLatch(GatewayFixture.MAX_CONNECTIONS * 8 / 10);
    CountDownLatch release = new CountDownLatch(1);
    ScriptedHttpEndpoint.Script busy =
        (request, connection) -> {
          received.countDown();
          Latches.await(release);
          answerNaming("").answer(request, connection);
        };
    try (ScriptedHttpEndpoint limited = new ScriptedHttpEndpoint(answerNaming("limit: 0.01\r\n"));
        ScriptedHttpEndpoint full = new ScriptedHttpEndpoint(busy);
        GatewayFixture fixture = new GatewayFixture(limited, full)) {
      assertThat(fixture.send("GET", "/get/a", "first").statusCode()).isEqualTo(200);
      for (int i = 0; i < GatewayFixture.MAX_CONNECTIONS; i++) {
        fixture.sendAsync("POST", "/post/a", "busy" + i);
      }
      assertThat(received.await(5, TimeUnit.SECONDS)).isTrue();
      HttpResponse<String> refused = fixture.send("GET", "/get/a", "r");
      assertThat(refused.statusCode()).isEqualTo(503);
      assertThat(Double.parseDouble(refused.headers().firstValue("retry-after").get()))
          .isLessThan(2);
      release.countDown();
    }
  }
}
