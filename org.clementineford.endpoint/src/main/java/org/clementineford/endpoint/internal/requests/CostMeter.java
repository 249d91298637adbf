package org.clementineford.endpoint.internal.requests;

import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Extracts the token count from the {@code usage} object at the end of a chat completion, as
 * specified in the OpenAI API reference. Keeps only the last bytes of the body, so that the body
 * need not be parsed.
 */
final class CostMeter {
  private static final int TAIL_BYTES = 512;
  private static final Pattern TOTAL_TOKENS =
      Pattern.compile("\"total_tokens\"\\s*:\\s*(\\d{1,18})");

  private final byte[] tail = new byte[TAIL_BYTES];
  private int tailLength;

  void append(byte[] bytes) {
    if (bytes.length >= TAIL_BYTES) {
      System.arraycopy(bytes, bytes.length - TAIL_BYTES, tail, 0, TAIL_BYTES);
      tailLength = TAIL_BYTES;
      return;
    }
    int keep = Math.min(tailLength, TAIL_BYTES - bytes.length);
    System.arraycopy(tail, tailLength - keep, tail, 0, keep);
    System.arraycopy(bytes, 0, tail, keep, bytes.length);
    tailLength = keep + bytes.length;
  }

  /** Returns the last token count that the back end reported, or the estimate if there is none. */
  long tokens(long estimate) {
    Matcher matcher =
        TOTAL_TOKENS.matcher(new String(tail, 0, tailLength, StandardCharsets.ISO_8859_1));
    long tokens = estimate;
    while (matcher.find()) {
      tokens = Long.parseLong(matcher.group(1));
    }
    return tokens;
  }
}
