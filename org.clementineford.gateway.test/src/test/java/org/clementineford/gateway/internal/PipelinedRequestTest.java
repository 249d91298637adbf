package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PipelinedRequestTest {
  private final VirtualTime time = new VirtualTime(0);
  private final CountDownLatch firstArrived = new CountDownLatch(1);
  private final CountDownLatch secondArrived = new CountDownLatch(1);
  private final CountDownLatch end = new CountDownLatch(1);

  @Nested
  class Timeout {
    // Guards against a deadline that leaves out the wait for the requests before it.
    @Test
    void countsFromTheReadOfTheRequest() throws Exception {
      ScriptedHttpEndpoint.Script script =
          (request, connection) -> {
            (request.id().equals("first") ? firstArrived : secondArrived).countDown();
            Latches.await(end);
            connection.respond(200, request.id(), "proof: p\r\n", "good");
          };
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(time, endpoint)) {
        RawCaller caller = RawCaller.connect(fixture, 1_000);
        caller.send("POST", "/post/a", "first", "second");
        Latches.await(firstArrived);
        time.advance(600, TimeUnit.MILLISECONDS);
        end.countDown();
        Latches.await(secondArrived);
        String remaining = endpoint.requests().get(1).headers().get("remaining");
        assertThat(Long.parseLong(remaining)).isLessThanOrEqualTo(400);
      }
    }
  }
}
