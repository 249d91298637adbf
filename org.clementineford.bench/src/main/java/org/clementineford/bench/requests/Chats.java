package org.clementineford.bench.requests;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.clementineford.standins.EngineAnswers;
import org.clementineford.transport.http.HttpRequest;

/** Creates chat requests and checks their answers. */
final class Chats {
  static final String PATH = "/v1/chat/completions";

  private Chats() {}

  /** Creates a request; the engine stand-in derives its answer from the content. */
  static HttpRequest request(String account, String content, int tokens, boolean stream) {
    String body =
        "{\"model\":\""
            + Site.MODEL
            + "\",\"stream\":"
            + stream
            + ",\"max_tokens\":"
            + tokens
            + ",\"messages\":[{\"role\":\"user\",\"content\":\""
            + content
            + "\"}]}";
    return new HttpRequest(
        "POST",
        PATH,
        Map.of("Authorization", "Bearer " + account, "Content-Type", "application/json"),
        body.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns whether an answer is complete and belongs to this content. */
  static boolean isOwnAnswer(String answer, String content, int tokens, boolean stream) {
    String expected = EngineAnswers.expected(content, tokens);
    if (!stream) {
      return answer.contains("\"content\":\"" + expected + "\"") && answer.endsWith("}");
    }
    StringBuilder text = new StringBuilder();
    String mark = "\"delta\":{\"content\":\"";
    int at = answer.indexOf(mark);
    while (at >= 0) {
      int from = at + mark.length();
      text.append(answer, from, answer.indexOf('"', from));
      at = answer.indexOf(mark, from);
    }
    return answer.endsWith("data: [DONE]\n\n") && text.toString().equals(expected);
  }
}
