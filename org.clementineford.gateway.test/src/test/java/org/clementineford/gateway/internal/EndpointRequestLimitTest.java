package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EndpointRequestLimitTest {
  private static ScriptedHttpEndpoint.Script answerNaming(String headers) {
    return (request, connection) ->
        connection.respond(200, request.id(), "proof: p\r\n" + headers, "id: 1\ndata: a\n\n");
  }

  // Guards against sending an engine more requests than the limit that its answers name.
  @Test
  void namedInAnswersIsKeptWhileOtherEnginesAreFree() throws Exception {
    try (ScriptedHttpEndpoint limited = new ScriptedHttpEndpoint(answerNaming("limit: 1\r\n"));
        ScriptedHttpEndpoint free = new ScriptedHttpEndpoint(answerNaming(""));
        GatewayFixture fixture = new GatewayFixture(limited, free)) {
      for (int i = 0; i < 40; i++) {
        assertThat(fixture.send("POST", "/stream/a", "r" + i).statusCode()).isEqualTo(200);
      }
      // One and a half times what 1 request a second allows in 4 s, and 5 requests.
      assertThat(limited.requests()).hasSizeLessThanOrEqualTo(11);
    }
  }
}
