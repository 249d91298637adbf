package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GatewayTest {
  private static final String PROOF = "proof: p\r\n";

  private static ScriptedHttpEndpoint.Script good() {
    return (request, connection) -> connection.respond(200, request.id(), PROOF, "good");
  }

  @Nested
  class Answer {
    // Guards against headers and bodies that are altered while they are forwarded.
    @Test
    void isPassedOnWithItsProof() throws Exception {
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(good());
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        HttpResponse<String> answer =
            fixture.send("GET", "/keyed/a", "1", "key", "secret", "timeout", "1500");
        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(answer.body()).isEqualTo("good");
        assertThat(answer.headers().firstValue("proof")).contains("p");
        ScriptedHttpEndpoint.Request seen = endpoint.requests().get(0);
        assertThat(seen.line()).isEqualTo("GET /keyed/a HTTP/1.1");
        assertThat(seen.headers()).containsEntry("account", "lorient").doesNotContainKey("key");
        assertThat(Integer.parseInt(seen.headers().get("remaining"))).isBetween(1_000, 1_500);
        assertThat(seen.headers()).containsEntry("endpoint", "e0");
      }
    }

    // Guards against taking a duplicate response to one request for the response to the next.
    @Test
    void toAnotherRequestIsSkipped() throws Exception {
      ScriptedHttpEndpoint.Script script =
          (request, connection) -> {
            if (request.number() == 1) {
              connection.respond(200, "1", PROOF, "again");
            }
            connection.respond(200, request.id(), PROOF, "for " + request.id());
          };
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        assertThat(fixture.send("POST", "/post/a", "1").body()).isEqualTo("for 1");
        assertThat(fixture.send("POST", "/post/a", "2").body()).isEqualTo("for 2");
        assertThat(endpoint.requests()).hasSize(2);
      }
    }

    // Guards against forwarding an unsigned response or one with a content encoding as if the
    // endpoint had generated it.
    @Test
    void withoutProofOrWithContentEncodingIsNotForwarded() throws Exception {
      for (String headers : new String[] {"", PROOF + "Content-Encoding: gzip\r\n"}) {
        ScriptedHttpEndpoint.Script script =
            (request, connection) -> connection.respond(200, request.id(), headers, "bad");
        try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
            GatewayFixture fixture = new GatewayFixture(endpoint)) {
          assertThat(fixture.send("POST", "/post/a", "1").statusCode()).isEqualTo(502);
        }
      }
    }

    // Guards against treating a body without a length as complete after a connection reset.
    @Test
    void withoutLengthIsIncompleteAfterReset() throws Exception {
      ScriptedHttpEndpoint.Script script =
          (request, connection) -> {
            connection.write("HTTP/1.1 200 OK\r\nid: 1\r\nproof: p\r\n\r\npart");
            Thread.yield();
            connection.reset();
          };
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        assertThat(fixture.send("POST", "/post/a", "1").statusCode()).isEqualTo(502);
      }
    }

    // Guards against waiting for the body of a response to HEAD, which has none.
    @Test
    void toHeadRequestsHasLengthAndNoBody() throws Exception {
      ScriptedHttpEndpoint.Script script =
          (request, connection) ->
              connection.write(
                  "HTTP/1.1 200 OK\r\nid: "
                      + request.id()
                      + "\r\nproof: p\r\nContent-Length: 4\r\n\r\n");
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        for (String id : new String[] {"1", "2"}) {
          HttpResponse<String> answer = fixture.send("HEAD", "/get/a", id, "timeout", "1000");
          assertThat(answer.statusCode()).isEqualTo(200);
          assertThat(answer.headers().firstValue("content-length")).contains("4");
          assertThat(answer.body()).isEmpty();
        }
      }
    }

    // Guards against waiting for a response after the endpoint sent bytes that are not HTTP.
    @Test
    void thatIsNotHttpFailsTheAttempt() throws Exception {
      ScriptedHttpEndpoint.Script script =
          (request, connection) -> connection.write("junk\r\n\r\n");
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        assertThat(fixture.send("POST", "/post/a", "1").statusCode()).isEqualTo(502);
      }
    }
  }

  @Nested
  class NonIdempotentRequest {
    // Guards against a second run of a request whose first run had an unknown outcome.
    @Test
    void isNotSentAgainAfterReset() throws Exception {
      ScriptedHttpEndpoint.Script script = (request, connection) -> connection.reset();
      try (ScriptedHttpEndpoint first = new ScriptedHttpEndpoint(script);
          ScriptedHttpEndpoint second = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(first, second)) {
        assertThat(fixture.send("POST", "/post/a", "1").statusCode()).isEqualTo(502);
        assertThat(first.requests().size() + second.requests().size()).isEqualTo(1);
      }
    }

    // Guards against failing a request although it certainly did not run.
    @Test
    void isSentAgainIfEndpointDidNotRunIt() throws Exception {
      ScriptedHttpEndpoint.Script script =
          (request, connection) -> connection.respond(503, request.id(), "not-run: 1\r\n", "");
      try (ScriptedHttpEndpoint first = new ScriptedHttpEndpoint(script);
          ScriptedHttpEndpoint second = new ScriptedHttpEndpoint(good());
          GatewayFixture fixture = new GatewayFixture(first, second)) {
        assertThat(fixture.send("POST", "/post/a", "1").statusCode()).isEqualTo(200);
      }
    }

    // Guards against sending further requests to an endpoint that stopped responding.
    @Test
    void thatTimesOutExcludesItsEndpoint() throws Exception {
      CountDownLatch end = new CountDownLatch(1);
      ScriptedHttpEndpoint.Script silent = (request, connection) -> await(end);
      try (ScriptedHttpEndpoint first = new ScriptedHttpEndpoint(silent);
          ScriptedHttpEndpoint second = new ScriptedHttpEndpoint(good());
          GatewayFixture fixture = new GatewayFixture(first, second)) {
        assertThat(fixture.send("POST", "/post/a", "1", "timeout", "300").statusCode())
            .isEqualTo(504);
        assertThat(fixture.send("POST", "/post/a", "2", "timeout", "300").statusCode())
            .isEqualTo(200);
      } finally {
        end.countDown();
      }
    }

    // Guards against reporting a request as not run without a guarantee of each endpoint.
    @Test
    void isRefusedOnlyIfNoEndpointRanIt() throws Exception {
      ScriptedHttpEndpoint.Script script =
          (request, connection) -> connection.respond(503, request.id(), "not-run: 1\r\n", "");
      try (ScriptedHttpEndpoint first = new ScriptedHttpEndpoint(script);
          ScriptedHttpEndpoint second = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(first, second)) {
        HttpResponse<String> refusal = fixture.send("POST", "/post/a", "1");
        assertThat(refusal.statusCode()).isEqualTo(503);
        assertThat(refusal.headers().firstValue("retry-after")).isPresent();
      }
    }
  }

  @Nested
  class IdempotentRequest {
    // Guards against failing a request that another endpoint can answer.
    @Test
    void isSentAgainAfterTimeoutOfEndpoint() throws Exception {
      CountDownLatch end = new CountDownLatch(1);
      ScriptedHttpEndpoint.Script silent = (request, connection) -> await(end);
      try (ScriptedHttpEndpoint first = new ScriptedHttpEndpoint(silent);
          ScriptedHttpEndpoint second = new ScriptedHttpEndpoint(good());
          GatewayFixture fixture = new GatewayFixture(first, second)) {
        assertThat(fixture.send("GET", "/get/a", "1", "timeout", "1000").body()).isEqualTo("good");
      } finally {
        end.countDown();
      }
    }

    // Guards against replacing the failure response of an endpoint by one of the gateway.
    @Test
    void getsTheEndpointsFailureIfAllFail() throws Exception {
      ScriptedHttpEndpoint.Script failing =
          (request, connection) -> connection.respond(500, request.id(), PROOF, "failed");
      try (ScriptedHttpEndpoint first = new ScriptedHttpEndpoint(failing);
          ScriptedHttpEndpoint second = new ScriptedHttpEndpoint(failing);
          GatewayFixture fixture = new GatewayFixture(first, second)) {
        HttpResponse<String> answer = fixture.send("GET", "/get/a", "1");
        assertThat(answer.statusCode()).isEqualTo(500);
        assertThat(answer.body()).isEqualTo("failed");
        assertThat(first.requests().size() + second.requests().size()).isEqualTo(2);
      }
    }
  }

  @Nested
  class FailureOfAnEndpoint {
    // Guards against losing the failure response of an endpoint when there is no other endpoint.
    @Test
    void isPassedOnIfNoOtherEndpointIsLeft() throws Exception {
      ScriptedHttpEndpoint.Script failing =
          (request, connection) -> connection.respond(500, request.id(), PROOF, "failed");
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(failing);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        HttpResponse<String> answer = fixture.send("GET", "/get/a", "1");
        assertThat(answer.statusCode()).isEqualTo(500);
        assertThat(answer.headers().firstValue("proof")).contains("p");
      }
    }
  }

  @Nested
  class Stream {
    // Guards against lost, duplicate or merged events when an endpoint closes the connection in the
    // middle of an event.
    @Test
    void continuesElsewhereAfterLastCompleteEvent() throws Exception {
      ScriptedHttpEndpoint.Script script =
          (request, connection) -> {
            connection.startEventStream(request.id());
            if (request.headers().containsKey("resume")) {
              assertThat(request.headers()).containsEntry("resume", "1");
              connection.writeChunk("id: 2\ndata: b\n\n");
              connection.write("0\r\n\r\n");
            } else {
              connection.writeChunk("id: 1\ndata: a\n\nid: 2\nda");
              connection.socket().close();
            }
          };
      try (ScriptedHttpEndpoint first = new ScriptedHttpEndpoint(script);
          ScriptedHttpEndpoint second = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(first, second)) {
        assertThat(fixture.send("POST", "/stream/a", "1").body())
            .isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
      }
    }

    // Guards against a stream that ends early, cannot be resumed, and appears complete.
    @Test
    void thatCannotContinueIsAborted() throws Exception {
      ScriptedHttpEndpoint.Script script =
          (request, connection) -> {
            connection.startEventStream(request.id());
            connection.writeChunk("id: 1\ndata: a\n\n");
            connection.socket().close();
          };
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        assertThatThrownBy(() -> fixture.send("POST", "/stream/a", "1")).isNotNull();
      }
    }
  }

  @Nested
  class Connections {
    // Guards against opening more connections than an endpoint accepts. The endpoint resets the
    // excess ones, and a non-idempotent request on such a connection ends with an unknown outcome.
    @Test
    void stayBelowTheLimitOfTheEndpoint() throws Exception {
      CountDownLatch end = new CountDownLatch(1);
      ScriptedHttpEndpoint.Script slow =
          (request, connection) -> {
            await(end);
            connection.respond(200, request.id(), PROOF, "good");
          };
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(slow);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < GatewayFixture.MAX_CONNECTIONS + 2; i++) {
          answers.add(fixture.sendAsync("POST", "/post/a", "n" + i));
        }
        HttpResponse<String> refused =
            (HttpResponse<String>)
                CompletableFuture.anyOf(answers.toArray(new CompletableFuture<?>[0]))
                    .get(2, TimeUnit.SECONDS);
        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(refused.headers().firstValue("retry-after")).isPresent();
        // A request that comes after the answers may reuse a connection that is free again.
        awaitArrivedOrRefused(endpoint, answers);
        end.countDown();
        CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0]))
            .get(2, TimeUnit.SECONDS);
        assertThat(endpoint.requests()).hasSizeLessThan(GatewayFixture.MAX_CONNECTIONS);
        assertThat(endpoint.requests()).hasSizeGreaterThan(GatewayFixture.MAX_CONNECTIONS / 2);
      } finally {
        end.countDown();
      }
    }
  }

  private static void awaitArrivedOrRefused(
      ScriptedHttpEndpoint endpoint, List<CompletableFuture<HttpResponse<String>>> answers) {
    long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
    long refused = 0;
    while (endpoint.requests().size() + refused < answers.size()) {
      assertThat(System.nanoTime() - giveUpAt).as("time over").isNegative();
      Thread.onSpinWait();
      refused = answers.stream().filter(CompletableFuture::isDone).count();
    }
  }

  @Nested
  class Key {
    // Guards against accepting a key that may have been removed since the last proof of it.
    @Test
    void isNotAcceptedWithoutRecentProof() throws Exception {
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(good());
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        fixture.setConfigurationAge(4_900);
        assertThat(fixture.send("GET", "/keyed/a", "1", "key", "secret").statusCode())
            .isEqualTo(503);
        assertThat(fixture.send("GET", "/get/a", "2").statusCode()).isEqualTo(200);
        assertThat(endpoint.requests()).hasSize(1);
      }
    }

    // Guards against a VM that is paused between the check of a key and the write of its request.
    @Test
    void isCheckedAgainWhenTheRequestIsWritten() throws Exception {
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(good());
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        fixture.expireKeysAfterCheckOf("1");
        assertThat(fixture.send("GET", "/keyed/a", "1", "key", "secret").statusCode())
            .isEqualTo(503);
        assertThat(endpoint.requests()).isEmpty();
        fixture.setConfigurationAge(0);
        assertThat(fixture.send("GET", "/keyed/a", "2", "key", "secret").statusCode())
            .isEqualTo(200);
      }
    }

    // Guards against a VM that starts after a restoration of the platform and answers from its old
    // configuration: with 404 where a route was added, or at all where a key was removed.
    @Test
    void andRouteAreUnknownUntilTheConfigurationWasProvenOnce() throws Exception {
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(good());
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        fixture.setConfigurationAge(Long.MAX_VALUE);
        assertThat(fixture.send("GET", "/nowhere", "1").statusCode()).isEqualTo(503);
        assertThat(fixture.send("GET", "/keyed/a", "2", "key", "secret").statusCode())
            .isEqualTo(503);
        fixture.setConfigurationAge(0);
        assertThat(fixture.send("GET", "/nowhere", "3").statusCode()).isEqualTo(404);
      }
    }

    // Guards against accepting an unknown key, and against a 404 where a route exists.
    @Test
    void mustBelongToTheClientAccount() throws Exception {
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(good());
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        assertThat(fixture.send("GET", "/keyed/a", "1", "key", "other").statusCode())
            .isEqualTo(401);
        assertThat(fixture.send("GET", "/none/a", "2").statusCode()).isEqualTo(404);
        assertThat(endpoint.requests()).isEmpty();
      }
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
