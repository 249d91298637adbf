package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.stream.Stream;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class SecondCopyOfAnswerTest {
  private static final String BODY = "answer of one";

  private static final String HEAD = "HTTP/1.1 200 X\r\nid: one\r\nproof: p\r\n";

  /** How an endpoint sends the answer to the first request once more, before that to the second. */
  private enum Copy {
    WHOLE(HEAD + "Content-Length: 13\r\n\r\n" + BODY),
    IN_PARTS(HEAD + "Content-Length: 13\r\n\r\n" + BODY),
    CHUNKED(HEAD + "Transfer-Encoding: chunked\r\n\r\nd\r\n" + BODY + "\r\n0\r\n\r\n"),
    AFTER_INTERIM_RESPONSE("HTTP/1.1 103 X\r\n\r\n" + HEAD + "Content-Length: 13\r\n\r\n" + BODY),
    REJECTION("HTTP/1.1 503 X\r\nid: one\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n"),
    WITHOUT_ID("HTTP/1.1 200 X\r\nproof: p\r\nContent-Length: 13\r\n\r\n" + BODY),
    REJECTION_WITHOUT_ID("HTTP/1.1 503 X\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n");

    private final String text;

    Copy(String text) {
      this.text = text;
    }

    boolean namesItsRequest() {
      return text.contains("id: one");
    }

    void send(ScriptedHttpEndpoint.Connection connection) throws IOException {
      int part = this == IN_PARTS ? 1 : text.length();
      for (int i = 0; i < text.length(); i += part) {
        connection.write(text.substring(i, i + part));
      }
    }
  }

  // Guards against an answer that reaches the next caller on the same connection, and against a
  // copy of a rejection that counts as "has not run" for a request that runs.
  @ParameterizedTest
  @EnumSource(Copy.class)
  void neverReachesTheNextCaller(Copy copy) throws Exception {
    try (ScriptedHttpEndpoint endpoint =
            new ScriptedHttpEndpoint(
                (request, connection) -> {
                  if (request.id().equals("two")) {
                    copy.send(connection);
                    connection.respond(200, "two", "proof: p\r\n", "answer of two");
                  } else {
                    connection.respond(200, request.id(), "proof: p\r\n", BODY);
                  }
                });
        GatewayFixture fixture = new GatewayFixture(new VirtualTime(0), endpoint)) {
      assertThat(fixture.send("POST", "/post/a", "one").body()).isEqualTo(BODY);
      var second = fixture.send("POST", "/post/a", "two");
      if (copy.namesItsRequest()) {
        assertThat(second.body()).isEqualTo("answer of two");
      } else {
        assertThat(second.statusCode()).isEqualTo(502);
      }
    }
  }

  // Guards against refusing the answers of servers that do not name requests at all.
  @Test
  void isNotSuspectedOnNewConnection() throws Exception {
    try (ScriptedHttpEndpoint endpoint =
            new ScriptedHttpEndpoint(
                (request, connection) ->
                    connection.write(
                        "HTTP/1.1 200 X\r\nproof: p\r\nConnection: close\r\n"
                            + "Content-Length: 4\r\n\r\ngood"));
        GatewayFixture fixture = new GatewayFixture(new VirtualTime(0), endpoint)) {
      assertThat(fixture.send("POST", "/post/a", "one").body()).isEqualTo("good");
    }
  }

  /** When the beginning of a second answer arrives. */
  private enum Beginning {
    WITH_THE_ANSWER {
      @Override
      void answer(
          ScriptedHttpEndpoint.Request request,
          ScriptedHttpEndpoint.Connection connection,
          String part)
          throws IOException {
        connection.write(ANSWER.formatted(request.id()) + (isFirst(request) ? part : ""));
      }
    },
    WHILE_THE_CONNECTION_IS_IDLE {
      @Override
      void answer(
          ScriptedHttpEndpoint.Request request,
          ScriptedHttpEndpoint.Connection connection,
          String part)
          throws IOException {
        connection.write(ANSWER.formatted(request.id()));
        if (isFirst(request)) {
          new LoopbackDelivery(connection.socket()).awaitRead();
          connection.write(part);
        }
      }
    },
    BEFORE_THE_NEXT_ANSWER {
      @Override
      void answer(
          ScriptedHttpEndpoint.Request request,
          ScriptedHttpEndpoint.Connection connection,
          String part)
          throws IOException {
        if (!isFirst(request)) {
          connection.write(part);
          new LoopbackDelivery(connection.socket()).awaitRead();
        }
        connection.write(ANSWER.formatted(request.id()));
      }
    };

    private static final String ANSWER =
        "HTTP/1.1 200 X\r\nid: %s\r\nproof: p\r\nKeep-Alive: timeout=5\r\n"
            + "Content-Length: 4\r\n\r\ngood";

    abstract void answer(
        ScriptedHttpEndpoint.Request request,
        ScriptedHttpEndpoint.Connection connection,
        String part)
        throws IOException;

    private static boolean isFirst(ScriptedHttpEndpoint.Request request) {
      return request.id().equals("one");
    }
  }

  // Guards against the beginning of a second answer that joins the head of the next one. Its status
  // and "has not run" would count for a request that ran, which would then run again.
  @ParameterizedTest
  @EnumSource
  void beginningDoesNotChangeTheNextAnswer(Beginning beginning) throws Exception {
    String second = "HTTP/1.1 503 Gone\r\nnot-run: 1\r\nDate: Sat, 05 Dec 2026 1";
    for (int length = 1; length <= second.length(); length++) {
      String part = second.substring(0, length);
      ScriptedHttpEndpoint.Script script =
          (request, connection) -> beginning.answer(request, connection, part);
      try (ScriptedHttpEndpoint endpoint = new ScriptedHttpEndpoint(script);
          ScriptedHttpEndpoint other = new ScriptedHttpEndpoint(script);
          GatewayFixture fixture = new GatewayFixture(endpoint, other)) {
        fixture.send("POST", "/post/a", "one");
        var answer = fixture.send("POST", "/post/a", "two");
        assertThat(answer.statusCode()).as(part).isIn(200, 502);
        long runs =
            Stream.of(endpoint, other)
                .flatMap(server -> server.requests().stream())
                .filter(request -> request.id().equals("two"))
                .count();
        assertThat(runs).as(part).isEqualTo(1);
      }
    }
  }
}
