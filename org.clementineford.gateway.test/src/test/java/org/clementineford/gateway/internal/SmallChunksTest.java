package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.testing.EndlessRequest;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class SmallChunksTest {
  // The time stands still, so no timer of the gateway ends a connection.
  private final VirtualTime time = new VirtualTime(0);

  private final ScriptedHttpEndpoint.Script script =
      (request, connection) -> connection.respond(200, request.id(), "proof: p\r\n", "good");

  // Guards against an event loop that decodes the chunks of one caller without end.
  @ParameterizedTest
  @EnumSource(EndlessRequest.class)
  void endTheConnectionIfTheyAreMoreThanTheBody(EndlessRequest request) throws Exception {
    try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
        GatewayFixture fixture = new GatewayFixture(time, endpoint)) {
      RawCaller caller = RawCaller.connect(fixture, 5_000);
      CompletableFuture<Long> sent =
          CompletableFuture.supplyAsync(
              () -> request.sendTo(caller.socket(), "POST /post/a HTTP/1.1\r\nid: 1\r\n"));
      assertThat(sent.get(20, TimeUnit.SECONDS)).isLessThan(EndlessRequest.MAX_SENT_BYTES);
      assertThat(endpoint.requests()).isEmpty();
    }
  }

  // Guards against a sound request that is refused because of its small chunks.
  @Test
  void arriveWhole() throws Exception {
    try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
        GatewayFixture fixture = new GatewayFixture(time, endpoint)) {
      RawCaller caller = RawCaller.connect(fixture, 5_000);
      String request =
          "POST /post/a HTTP/1.1\r\nHost: 127.0.0.1\r\ntimeout: 5000\r\nid: 1\r\n"
              + "Transfer-Encoding: chunked\r\n\r\n"
              + "1\r\nx\r\n".repeat(20_001)
              + "0\r\n\r\n";
      caller.socket().getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      caller.socket().setSoTimeout(5_000);
      byte[] answer = caller.socket().getInputStream().readNBytes(12);
      assertThat(new String(answer, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 200");
      assertThat(endpoint.requests().get(0).body()).hasSize(20_001);
    }
  }
}
