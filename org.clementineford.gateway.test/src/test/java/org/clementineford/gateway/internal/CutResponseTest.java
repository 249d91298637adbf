package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import org.clementineford.testing.CutResponse;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Responses of endpoints that are cut off, as callers get them. */
class CutResponseTest {
  private static final String HEADERS = "id: 1\r\nproof: p\r\n";

  // Guards against a part of a response that passes as complete, wherever the endpoint was killed.
  @ParameterizedTest
  @EnumSource
  void isCompleteOnlyIfItWasSentCompletely(CutResponse response) throws Exception {
    for (CutResponse.Ending ending : CutResponse.Ending.values()) {
      for (int bytes = 0; bytes <= response.length(HEADERS); bytes++) {
        int sent = bytes;
        try (ScriptedHttpEndpoint endpoint =
                new ScriptedHttpEndpoint(
                    (request, connection) ->
                        response.send(connection.socket(), HEADERS, sent, ending));
            GatewayFixture fixture = new GatewayFixture(endpoint)) {
          var received = fixture.send("POST", "/post/a", "1");
          if (received.statusCode() != 200) {
            assertThat(received.statusCode()).isEqualTo(502);
            assertThat(ending == CutResponse.Ending.CLOSE && sent == response.length(HEADERS))
                .as("complete response after %d bytes", sent)
                .isFalse();
          } else {
            assertThat(response.mayBeComplete(sent, ending, HEADERS))
                .as("%s after %d bytes", ending, sent)
                .isTrue();
          }
        }
      }
    }
  }
}
