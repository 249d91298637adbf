package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.clementineford.serving.model.Endpoint;
import org.clementineford.serving.model.RequestKind;
import org.clementineford.serving.model.Route;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.Test;

class ServiceChangeTest {
  private static final String PROOF = "proof: p\r\n";

  private final CountDownLatch arrived = new CountDownLatch(1);
  private final CountDownLatch changed = new CountDownLatch(1);

  /** Returns the answer to a request that is rejected after a change of the configuration. */
  private HttpResponse<String> answerAfter(Consumer<ConfigurationDraft> change, int spareRuns)
      throws Exception {
    try (ScriptedHttpEndpoint rejecting =
            new ScriptedHttpEndpoint(
                (request, connection) -> {
                  arrived.countDown();
                  Latches.await(changed);
                  connection.respond(503, request.id(), PROOF + "not-run: 1\r\n", "");
                });
        ScriptedHttpEndpoint spare =
            new ScriptedHttpEndpoint(
                (request, connection) -> connection.respond(200, request.id(), PROOF, "good"));
        GatewayFixture fixture = new GatewayFixture(new VirtualTime(0))) {
      fixture.list(
          List.of(
              new Endpoint("e", 1, "plain", rejecting.address(), "x", false, 0),
              new Endpoint("s", 1, "spare", spare.address(), "x", false, 0)));
      final CompletableFuture<HttpResponse<String>> answer =
          fixture.sendAsync("POST", "/post/a", "r");
      Latches.await(arrived);
      fixture.configure(change);
      changed.countDown();
      final HttpResponse<String> response = answer.get(5, TimeUnit.SECONDS);
      assertThat(spare.requests()).hasSize(spareRuns);
      return response;
    }
  }

  private static Route asIdempotent(Route route) {
    return new Route(
        route.name(),
        route.host(),
        route.pathPrefix(),
        RequestKind.IDEMPOTENT,
        route.timeoutMs(),
        route.targetLatencyMs(),
        route.priority(),
        route.shares(),
        route.maxAttempts(),
        route.anonymous(),
        route.resumable(),
        route.callerPatienceMs());
  }

  // Guards against a refusal of a rejected request whose service went though its route leads on.
  @Test
  void leadsRejectedRequestToServiceInForce() throws Exception {
    assertThat(
            answerAfter(ConfigurationChange.SERVICE_DROPPED_AND_ROUTE_MOVED::change, 1)
                .statusCode())
        .isEqualTo(200);
  }

  // Guards against repeats of a request that its caller sent to a route that allows none.
  @Test
  void doesNotLeadRequestThatMustRunOnceToRouteThatRepeats() throws Exception {
    HttpResponse<String> answer =
        answerAfter(
            draft -> {
              ConfigurationChange.SERVICE_DROPPED_AND_ROUTE_MOVED.change(draft);
              draft.routes().replaceAll(ServiceChangeTest::asIdempotent);
            },
            0);
    assertThat(answer.statusCode()).isEqualTo(503);
    assertThat(answer.headers().firstValue("Retry-After")).isPresent();
  }
}
