package org.clementineford.entry.internal.requests;

import java.util.Locale;
import java.util.Set;

/** Headers that hold for one connection only (RFC 9110, section 7.6.1) or are set anew. */
final class HopHeaders {
  private static final Set<String> NAMES =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length");

  private HopHeaders() {}

  static boolean isHopByHop(String name) {
    return NAMES.contains(name.toLowerCase(Locale.ROOT));
  }
}
