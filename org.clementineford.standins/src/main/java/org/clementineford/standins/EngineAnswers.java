package org.clementineford.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

/**
 * Computes the answers of the engine stand-in. An answer depends only on the message texts and the
 * number of tokens, so a caller can check that an answer is complete and belongs to its request.
 */
public final class EngineAnswers {
  private EngineAnswers() {}

  /**
   * Returns the texts of all messages of a chat request, one per line.
   *
   * @param request body of the request
   * @return the prompt
   */
  public static String prompt(JsonNode request) {
    StringBuilder prompt = new StringBuilder();
    for (JsonNode message : request.path("messages")) {
      JsonNode content = message.path("content");
      prompt.append(content.isTextual() ? content.asText() : content.toString()).append('\n');
    }
    return prompt.toString();
  }

  /**
   * Returns the random generator from which the tokens of an answer are drawn.
   *
   * @param prompt the prompt as {@link #prompt} returns it
   * @return a new generator; answers must not share one
   */
  static SplittableRandom tokens(String prompt) {
    byte[] digest = WeightContent.sha256().digest(prompt.getBytes(StandardCharsets.UTF_8));
    return new SplittableRandom(ByteBuffer.wrap(digest).getLong());
  }

  /**
   * Returns the next token.
   *
   * @param source random generator of the answer
   * @return a word of six letters and a space
   */
  static String nextToken(SplittableRandom source) {
    long bits = source.nextLong();
    char[] word = new char[7];
    for (int i = 0; i < 6; i++) {
      word[i] = (char) ('a' + (int) ((bits >>> (5 * i)) & 31) * 26 / 32);
    }
    word[6] = ' ';
    return new String(word);
  }

  /**
   * Returns the complete answer to a request with a single message.
   *
   * @param content text of the message
   * @param tokens number of tokens
   * @return the text of the answer
   */
  public static String expected(String content, int tokens) {
    SplittableRandom source = tokens(content + "\n");
    StringBuilder answer = new StringBuilder();
    for (int i = 0; i < tokens; i++) {
      answer.append(nextToken(source));
    }
    return answer.toString();
  }
}
