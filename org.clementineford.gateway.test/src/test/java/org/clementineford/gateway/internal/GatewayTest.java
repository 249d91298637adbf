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

  private static FakeEndpoint.Script good() {
    return (request, connection) -> connection.whole(200, request.id(), PROOF, "good");
  }

  @Nested
  class Answer {
    // Guards against headers and bodies that are altered while they are forwarded.
    @Test
    void isPassedOnWithItsProof() throws Exception {
      try (FakeEndpoint endpoint = new FakeEndpoint(good());
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        HttpResponse<String> answer =
            fixture.send("GET", "/keyed/a", "1", "key", "secret", "timeout", "1500");
        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(answer.body()).isEqualTo("good");
        assertThat(answer.headers().firstValue("proof")).contains("p");
        FakeEndpoint.Request seen = endpoint.requests().get(0);
        assertThat(seen.line()).isEqualTo("GET /keyed/a HTTP/1.1");
        assertThat(seen.headers()).containsEntry("account", "lorient").doesNotContainKey("key");
        assertThat(Integer.parseInt(seen.headers().get("remaining"))).isBetween(1_000, 1_500);
        assertThat(seen.headers()).containsEntry("endpoint", "e0");
      }
    }

    // Guards against taking a duplicate response to one request for the response to the next.
    @Test
    void toAnotherRequestIsSkipped() throws Exception {
      FakeEndpoint.Script script =
          (request, connection) -> {
            if (request.number() == 1) {
              connection.whole(200, "1", PROOF, "again");
            }
            connection.whole(200, request.id(), PROOF, "for " + request.id());
          };
      try (FakeEndpoint endpoint = new FakeEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        assertThat(fixture.send("POST", "/post/a", "1").body()).isEqualTo("for 1");
        assertThat(fixture.send("POST", "/post/a", "2").body()).isEqualTo("for 2");
        assertThat(endpoint.requests()).hasSize(2);
      }
    }

    // Guards against forwarding an unsigned response or one with a content encoding as if the
    // endpoint had generated it.
    @Test
    void thatIsNotTheEndpointsIsNotPassedOn() throws Exception {
      for (String headers : new String[] {"", PROOF + "Content-Encoding: gzip\r\n"}) {
        FakeEndpoint.Script script =
            (request, connection) -> connection.whole(200, request.id(), headers, "bad");
        try (FakeEndpoint endpoint = new FakeEndpoint(script);
            GatewayFixture fixture = new GatewayFixture(endpoint)) {
          assertThat(fixture.send("POST", "/post/a", "1").statusCode()).isEqualTo(502);
        }
      }
    }

    // Guards against treating a body without a length as complete after a connection reset.
    @Test
    void withoutLengthIsNotWholeAfterTheReset() throws Exception {
      FakeEndpoint.Script script =
          (request, connection) -> {
            connection.write("HTTP/1.1 200 OK\r\nid: 1\r\nproof: p\r\n\r\npart");
            Thread.yield();
            connection.reset();
          };
      try (FakeEndpoint endpoint = new FakeEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        assertThat(fixture.send("POST", "/post/a", "1").statusCode()).isEqualTo(502);
      }
    }

    // Guards against waiting for the body of a response to HEAD, which has none.
    @Test
    void toHeadRequestsHasLengthAndNoBody() throws Exception {
      FakeEndpoint.Script script =
          (request, connection) ->
              connection.write(
                  "HTTP/1.1 200 OK\r\nid: "
                      + request.id()
                      + "\r\nproof: p\r\nContent-Length: 4\r\n\r\n");
      try (FakeEndpoint endpoint = new FakeEndpoint(script);
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
    void thatIsNoHttpEndsTheAttempt() throws Exception {
      FakeEndpoint.Script script = (request, connection) -> connection.write("junk\r\n\r\n");
      try (FakeEndpoint endpoint = new FakeEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        assertThat(fixture.send("POST", "/post/a", "1").statusCode()).isEqualTo(502);
      }
    }
  }

  @Nested
  class NonIdempotentRequest {
    // Guards against a second run of a request whose first run had an unknown outcome.
    @Test
    void isNotSentAgainAfterTheReset() throws Exception {
      FakeEndpoint.Script script = (request, connection) -> connection.reset();
      try (FakeEndpoint first = new FakeEndpoint(script);
          FakeEndpoint second = new FakeEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(first, second)) {
        assertThat(fixture.send("POST", "/post/a", "1").statusCode()).isEqualTo(502);
        assertThat(first.requests().size() + second.requests().size()).isEqualTo(1);
      }
    }

    // Guards against failing a request although it certainly did not run.
    @Test
    void isSentAgainAfterTheStatedRejection() throws Exception {
      FakeEndpoint.Script script =
          (request, connection) -> connection.whole(503, request.id(), "not-run: 1\r\n", "");
      try (FakeEndpoint first = new FakeEndpoint(script);
          FakeEndpoint second = new FakeEndpoint(good());
          GatewayFixture fixture = new GatewayFixture(first, second)) {
        assertThat(fixture.send("POST", "/post/a", "1").statusCode()).isEqualTo(200);
      }
    }

    // Guards against sending further requests to an endpoint that stopped responding.
    @Test
    void thatGotNoAnswerSetsItsEndpointAside() throws Exception {
      CountDownLatch end = new CountDownLatch(1);
      FakeEndpoint.Script silent = (request, connection) -> await(end);
      try (FakeEndpoint first = new FakeEndpoint(silent);
          FakeEndpoint second = new FakeEndpoint(good());
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
    void isRefusedOnlyIfEachEndpointStatedThatItDidNotRun() throws Exception {
      FakeEndpoint.Script script =
          (request, connection) -> connection.whole(503, request.id(), "not-run: 1\r\n", "");
      try (FakeEndpoint first = new FakeEndpoint(script);
          FakeEndpoint second = new FakeEndpoint(script);
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
    void isSentAgainAfterTheSilence() throws Exception {
      CountDownLatch end = new CountDownLatch(1);
      FakeEndpoint.Script silent = (request, connection) -> await(end);
      try (FakeEndpoint first = new FakeEndpoint(silent);
          FakeEndpoint second = new FakeEndpoint(good());
          GatewayFixture fixture = new GatewayFixture(first, second)) {
        assertThat(fixture.send("GET", "/get/a", "1", "timeout", "1000").body()).isEqualTo("good");
      } finally {
        end.countDown();
      }
    }

    // Guards against replacing the failure response of an endpoint by one of the gateway.
    @Test
    void getsTheEndpointsFailureIfAllFail() throws Exception {
      FakeEndpoint.Script failing =
          (request, connection) -> connection.whole(500, request.id(), PROOF, "failed");
      try (FakeEndpoint first = new FakeEndpoint(failing);
          FakeEndpoint second = new FakeEndpoint(failing);
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
      FakeEndpoint.Script failing =
          (request, connection) -> connection.whole(500, request.id(), PROOF, "failed");
      try (FakeEndpoint endpoint = new FakeEndpoint(failing);
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
    void continuesElsewhereAfterTheLastWholeEvent() throws Exception {
      FakeEndpoint.Script script =
          (request, connection) -> {
            connection.startEvents(request.id());
            if (request.headers().containsKey("resume")) {
              assertThat(request.headers()).containsEntry("resume", "1");
              connection.chunk("id: 2\ndata: b\n\n");
              connection.write("0\r\n\r\n");
            } else {
              connection.chunk("id: 1\ndata: a\n\nid: 2\nda");
              connection.socket().close();
            }
          };
      try (FakeEndpoint first = new FakeEndpoint(script);
          FakeEndpoint second = new FakeEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(first, second)) {
        assertThat(fixture.send("POST", "/stream/a", "1").body())
            .isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
      }
    }

    // Guards against a stream that ends early, cannot be resumed, and appears complete.
    @Test
    void thatCannotContinueIsBrokenOff() throws Exception {
      FakeEndpoint.Script script =
          (request, connection) -> {
            connection.startEvents(request.id());
            connection.chunk("id: 1\ndata: a\n\n");
            connection.socket().close();
          };
      try (FakeEndpoint endpoint = new FakeEndpoint(script);
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
      FakeEndpoint.Script slow =
          (request, connection) -> {
            await(end);
            connection.whole(200, request.id(), PROOF, "good");
          };
      try (FakeEndpoint endpoint = new FakeEndpoint(slow);
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

  @Nested
  class Key {
    // Guards against accepting a key that may have been removed since the last proof of it.
    @Test
    void isNotTrustedWithoutTheRecentProof() throws Exception {
      try (FakeEndpoint endpoint = new FakeEndpoint(good());
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        fixture.setConfigurationAge(4_900);
        assertThat(fixture.send("GET", "/keyed/a", "1", "key", "secret").statusCode())
            .isEqualTo(503);
        assertThat(fixture.send("GET", "/get/a", "2").statusCode()).isEqualTo(200);
        assertThat(endpoint.requests()).hasSize(1);
      }
    }

    // Guards against accepting an unknown key, and against a 404 where a route exists.
    @Test
    void mustBelongToTheClientAccount() throws Exception {
      try (FakeEndpoint endpoint = new FakeEndpoint(good());
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
