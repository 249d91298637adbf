package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.clementineford.serving.model.CallerLimits;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class PipelinedRequestTest {
  private static final String READ = "clementineford_entry_requests_read_total";
  private static final String ENDED = "clementineford_entry_requests_total";
  private static final String CLOSES = "clementineford_entry_caller_closes_total";
  private static final String EXPECT = "Expect: 100-continue\r\n";

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

  @Nested
  class ManyRequests {
    // Guards against a close at the 17th waiting request that drops all those accepted before it.
    @Test
    void areAllAnsweredInTheirOrder() throws Exception {
      ScriptedHttpEndpoint.Script script =
          (request, connection) -> {
            if (request.id().equals("r0")) {
              firstArrived.countDown();
              Latches.await(end);
            }
            connection.respond(200, request.id(), "proof: p\r\n", "<" + request.id() + ">");
          };
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        RawCaller caller = RawCaller.connect(fixture, 5_000);
        caller.socket().setSoTimeout(5_000);
        for (int round = 0; round < 3; round++) {
          for (int i = 0; i < 20; i++) {
            caller.send("POST", "/post/a", "r" + (round * 20 + i));
          }
          if (round == 0) {
            Latches.await(firstArrived);
          }
        }
        end.countDown();
        String answers = readUntil(caller, "<r59>");
        for (int i = 1; i < 60; i++) {
          assertThat(answers.indexOf("<r" + i + ">"))
              .isGreaterThan(answers.indexOf("<r" + (i - 1) + ">"));
        }
      }
    }

    // Guards against bodies of waiting requests that are read past the limit of waiting requests.
    @Test
    void areNotReadBeyondTheLimitIfTheyHaveBodies() throws Exception {
      ScriptedHttpEndpoint.Script script =
          (request, connection) -> {
            if (request.id().equals("r0")) {
              firstArrived.countDown();
              Latches.await(end);
            }
            connection.respond(200, request.id(), "proof: p\r\n", "<" + request.id() + ">");
          };
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        RawCaller caller = RawCaller.connect(fixture, 5_000);
        caller.socket().setSoTimeout(5_000);
        final CompletableFuture<Void> sent =
            CompletableFuture.runAsync(() -> sendLarge(caller, 128));
        Latches.await(firstArrived);
        // Turns of the event loop in which more requests are read if reading goes on.
        for (int turn = 0; turn < 20_000 && fixture.counter(READ, "") <= 40; turn++) {
          fixture.run(() -> {});
        }
        assertThat(fixture.counter(READ, "")).isBetween(2L, 40L);
        assertThat(sent).isNotDone();
        end.countDown();
        String answers = readUntil(caller, "<r127>");
        sent.get(5, TimeUnit.SECONDS);
        for (int i = 1; i < 128; i++) {
          assertThat(answers.indexOf("<r" + i + ">"))
              .isGreaterThan(answers.indexOf("<r" + (i - 1) + ">"));
        }
      }
    }

    private static void sendLarge(RawCaller caller, int count) {
      String body = "x".repeat(200_000);
      try {
        for (int i = 0; i < count; i++) {
          write(caller, post("r" + i, "Content-Length: 200000\r\n") + body);
        }
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  @Nested
  class MalformedRequest {
    // Guards against a refusal that overtakes the answers to the requests before it.
    @Test
    void isRefusedAfterThoseBeforeIt() throws Exception {
      ScriptedHttpEndpoint.Script script =
          (request, connection) -> {
            firstArrived.countDown();
            Latches.await(end);
            connection.respond(200, request.id(), "proof: p\r\n", "good");
          };
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        RawCaller caller = RawCaller.connect(fixture, 5_000);
        caller.socket().setSoTimeout(5_000);
        caller.send("POST", "/post/a", "first", "second");
        caller
            .socket()
            .getOutputStream()
            .write("what is this\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        Latches.await(firstArrived);
        fixture.awaitCounter(READ, "", 3);
        end.countDown();
        String answers =
            new String(caller.socket().getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertThat(answers).matches("(?s)HTTP/1.1 200.*HTTP/1.1 200.*HTTP/1.1 400.*");
      }
    }
  }

  @Nested
  class TooLargeRequest {
    private static final int LIMIT = 1_000;

    private final ScriptedHttpEndpoint.Script held =
        (request, connection) -> {
          firstArrived.countDown();
          Latches.await(end);
          connection.respond(200, request.id(), "proof: p\r\n", "<" + request.id() + ">");
        };

    // Guards against a refusal that its caller takes for the answer to the request before it.
    @Test
    void isRefusedAfterTheOneBeforeIt() throws Exception {
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(held);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        fixture.limitCallers(new CallerLimits(LIMIT, 60_000));
        RawCaller caller = RawCaller.connect(fixture, 5_000);
        caller.socket().setSoTimeout(5_000);
        caller.send("POST", "/post/a", "first");
        Latches.await(firstArrived);
        write(caller, post("large", "Content-Length: 200000\r\n") + "x".repeat(200_000));
        caller.send("POST", "/post/a", "third");
        fixture.awaitCounter(READ, "", 3);
        end.countDown();
        assertThat(readUntil(caller, "<third>"))
            .matches("(?s)HTTP/1.1 200.*<first>HTTP/1.1 413.*HTTP/1.1 200.*<third>");
        fixture.awaitCounter(ENDED, "", 3);
        assertThat(fixture.counter(ENDED, "TOO_LARGE")).isEqualTo(1);
      }
    }

    // Guards against a rest of a body, or a body that never comes, taken for the next request.
    @ParameterizedTest
    @ValueSource(
        strings = {
          "Transfer-Encoding: chunked\r\n\r\n7d0\r\n",
          "Content-Length: 2000\r\nExpect: 100-continue\r\n\r\n"
        })
    void closesAfterItsAnswerIfTheEndOfItsBodyIsUncertain(String rest) throws Exception {
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(held);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        fixture.limitCallers(new CallerLimits(LIMIT, 60_000));
        RawCaller caller = RawCaller.connect(fixture, 5_000);
        caller.socket().setSoTimeout(5_000);
        caller.send("POST", "/post/a", "first");
        Latches.await(firstArrived);
        String head = post("large", "");
        write(caller, head.substring(0, head.length() - 2) + rest);
        if (rest.startsWith("Transfer")) {
          write(caller, "x".repeat(2_000) + "\r\n");
        }
        fixture.awaitCounter(READ, "", 2);
        end.countDown();
        String answers =
            new String(caller.socket().getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertThat(answers)
            .matches("(?s)HTTP/1.1 200.*<first>HTTP/1.1 413.*connection: close\r\n.*");
        assertThat(fixture.counter(ENDED, "TOO_LARGE")).isEqualTo(1);
        fixture.awaitCounter(CLOSES, "AFTER_ANSWER", 1);
      }
    }
  }

  @Nested
  class StartedStream {
    private final ScriptedHttpEndpoint.Script stream =
        (request, connection) -> {
          if (request.id().equals("first")) {
            connection.startEventStream(request.id());
            connection.writeChunk("id: 1\ndata: a\n\n");
            Latches.await(end);
            connection.writeChunk("id: 2\ndata: b\n\n");
            connection.write("0\r\n\r\n");
          } else {
            connection.respond(200, request.id(), "proof: p\r\n", "<" + request.id() + ">");
          }
        };

    // Guards against an interim answer or a refusal that is written into the stream.
    @ParameterizedTest
    @CsvSource({"500, true, 200", "2000, false, 413", "2000, true, 413"})
    void isNotCutByTheNextRequest(int length, boolean expect, int status) throws Exception {
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(stream);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        fixture.limitCallers(new CallerLimits(1_000, 60_000));
        RawCaller caller = RawCaller.connect(fixture, 5_000);
        caller.socket().setSoTimeout(5_000);
        caller.send("POST", "/stream/a", "first");
        final String started = readUntil(caller, "data: a");
        String headers = "Content-Length: " + length + "\r\n";
        write(
            caller,
            post("second", expect ? headers + EXPECT : headers)
                + (expect && status == 413 ? "" : "x".repeat(length)));
        fixture.awaitCounter(READ, "", 2);
        end.countDown();
        String answers =
            started + readUntil(caller, status == 200 ? "<second>" : "content-length: 0\r\n");
        assertThat(answers)
            .matches("(?s)HTTP/1.1 200.*data: a.*data: b.*\r\n0\r\n\r\nHTTP/1.1 " + status + ".*")
            .doesNotContain("HTTP/1.1 100");
        assertThat(fixture.counter(CLOSES, "ERROR")).isZero();
      }
    }
  }

  @Nested
  class ExpectedInterimAnswer {
    // Guards against a caller that waits for an interim answer for nothing.
    @Test
    void isSentWhileNoRequestIsInProgress() throws Exception {
      ScriptedHttpEndpoint.Script script =
          (request, connection) ->
              connection.respond(200, request.id(), "proof: p\r\n", "<" + request.id() + ">");
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(endpoint)) {
        RawCaller caller = RawCaller.connect(fixture, 5_000);
        caller.socket().setSoTimeout(5_000);
        write(caller, post("only", "Content-Length: 4\r\n" + EXPECT));
        assertThat(readUntil(caller, "\r\n\r\n")).startsWith("HTTP/1.1 100");
        write(caller, "body");
        assertThat(readUntil(caller, "<only>")).startsWith("HTTP/1.1 200");
      }
    }
  }

  private static String post(String id, String headers) {
    return "POST /post/a HTTP/1.1\r\nHost: 127.0.0.1\r\nid: " + id + "\r\n" + headers + "\r\n";
  }

  private static void write(RawCaller caller, String text) throws IOException {
    caller.socket().getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static String readUntil(RawCaller caller, String end) throws IOException {
    StringBuilder answers = new StringBuilder();
    int next = 0;
    while (next >= 0 && answers.indexOf(end) < 0) {
      next = caller.socket().getInputStream().read();
      answers.append((char) next);
    }
    return answers.toString();
  }
}
