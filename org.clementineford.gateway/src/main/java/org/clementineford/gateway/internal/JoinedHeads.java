package org.clementineford.gateway.internal;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Detects a head that consists of the beginning of one response and another response. A faulty
 * endpoint may send such a beginning just before a response; its status would go with the identity
 * of the other one.
 */
final class JoinedHeads {
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}");
  private static final String VERSION = "HTTP/1.";

  private JoinedHeads() {}

  /** Returns whether a status line follows the beginning of the head. */
  static boolean isJoined(HttpResponse response) {
    if (STATUS_LINE.matcher(response.status().reasonPhrase()).find()) {
      return true;
    }
    for (Map.Entry<String, String> header : response.headers()) {
      if (header.getKey().contains(VERSION) || STATUS_LINE.matcher(header.getValue()).find()) {
        return true;
      }
    }
    return false;
  }
}
