package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.clementineford.serving.model.Endpoint;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.Test;

class ServiceChangeTest {
  private static final String PROOF = "proof: p\r\n";

  private final CountDownLatch arrived = new CountDownLatch(1);
  private final CountDownLatch changed = new CountDownLatch(1);

  // Guards against a refusal of a rejected request whose service went though its route leads on.
  @Test
  void leadsRejectedRequestToServiceInForce() throws Exception {
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
      fixture.configure(ConfigurationChange.SERVICE_DROPPED_AND_ROUTE_MOVED::change);
      changed.countDown();
      assertThat(answer.get(5, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
      assertThat(spare.requests()).hasSize(1);
    }
  }
}
