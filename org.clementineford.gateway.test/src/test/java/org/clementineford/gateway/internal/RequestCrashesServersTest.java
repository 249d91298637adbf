package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestCrashesServersTest {
  private static final int SERVERS = 14;
  private static final String PROOF = "proof: p\r\n";

  /** Crashes after which the request may be sent three times more at most. */
  private static final int CRASHES = 3;

  private static final int MAX_SENDS_AFTER = 3;

  private final List<ScriptedHttpEndpoint> servers = new ArrayList<>();

  /** Starts servers that crash when they run a request with the word "fatal" in path or body. */
  @BeforeEach
  void startServers() throws IOException {
    for (int i = 0; i < SERVERS; i++) {
      int index = i;
      servers.add(
          new ScriptedHttpEndpoint(
              (request, connection) -> {
                if (isFatal(request)) {
                  servers.get(index).crash();
                } else if (request.line().contains("/stream/")) {
                  connection.startEventStream(request.id());
                  connection.writeChunk("id: 1\ndata: a\n\n");
                  connection.write("0\r\n\r\n");
                } else {
                  connection.respond(200, request.id(), PROOF, "ok");
                }
              }));
    }
  }

  @AfterEach
  void closeServers() throws IOException {
    for (ScriptedHttpEndpoint server : servers) {
      server.close();
    }
  }

  private static boolean isFatal(ScriptedHttpEndpoint.Request request) {
    return (request.line() + request.body()).contains("fatal");
  }

  private long fatalRequests() {
    return servers.stream()
        .flatMap(server -> server.requests().stream())
        .filter(RequestCrashesServersTest::isFatal)
        .count();
  }

  private GatewayFixture gateway() throws Exception {
    return new GatewayFixture(servers.toArray(ScriptedHttpEndpoint[]::new));
  }

  private static HttpResponse<String> send(
      GatewayFixture fixture, String method, String path, String id, String body) throws Exception {
    return fixture.sendBodyAsync(method, path, id, body).get(5, TimeUnit.SECONDS);
  }

  // Guards against sending a request that has ended servers to one server after the other, although
  // it has nothing in common with others but what it asks for.
  @ParameterizedTest
  @CsvSource({
    "GET, /get/fatal, '', /get/sound, ''",
    "GET, /get/a?x=fatal, '', /get/a?x=sound, ''",
    "POST, /post/a, fatal, /post/a, sound",
    "POST, /stream/a, fatal, /stream/a, sound"
  })
  void repeatedRequestIsNotSentToFurtherServers(
      String method, String path, String body, String soundPath, String soundBody)
      throws Exception {
    try (GatewayFixture fixture = gateway()) {
      for (int i = 0; i < 20; i++) {
        send(fixture, method, path, "c" + i, body);
        assertThat(send(fixture, method, soundPath, "s" + i, soundBody).statusCode())
            .isEqualTo(200);
      }
      assertThat(fatalRequests()).isLessThanOrEqualTo(CRASHES + MAX_SENDS_AFTER);
    }
  }

  // Guards against a wait, or an invitation to return soon, for a request that cannot be served.
  @Test
  void repeatedRequestIsRefusedAtOnceForTheTimeOfItsQuarantine() throws Exception {
    try (GatewayFixture fixture = gateway()) {
      for (int i = 0; i < CRASHES; i++) {
        send(fixture, "POST", "/post/a", "c" + i, "fatal");
      }
      // The caller of the last crash gets its answer before the probe of the server is refused.
      fixture.awaitGauge("clementineford_entry_quarantined_requests", 1);
      final long sent = fatalRequests();
      HttpResponse<String> refusal = send(fixture, "POST", "/post/a", "r", "fatal");
      assertThat(refusal.statusCode()).isEqualTo(503);
      assertThat(refusal.headers().firstValue("retry-after").map(Double::parseDouble).get())
          .isGreaterThan(500);
      assertThat(fatalRequests()).isEqualTo(sent);
    }
  }
}
