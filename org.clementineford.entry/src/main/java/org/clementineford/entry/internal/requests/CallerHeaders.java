package org.clementineford.entry.internal.requests;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.clementineford.requests.claims.StoredAnswer;
import org.clementineford.wire.AnswerHead;
import org.clementineford.wire.RunReport;

/** Creates the response headers for callers. */
final class CallerHeaders {
  // Apply to a single connection (RFC 9110, section 7.6.1) or are set again by the HTTP server.
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length");

  private CallerHeaders() {}

  static Map<String, String> of(AnswerHead head, String requestId) {
    Map<String, String> headers = new HashMap<>(head.getHeaders());
    headers.keySet().removeIf(name -> HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT)));
    headers.put("Clementineford-Request", requestId);
    if (head.isSetModelVersion()) {
      headers.put("Clementineford-Model-Version", head.getModelVersion());
    }
    if (head.isSetWeightsDigest()) {
      headers.put("Clementineford-Weights-Digest", head.getWeightsDigest());
    }
    return headers;
  }

  /** Returns the answer in an endpoint's report, or null if the endpoint did not store it. */
  static StoredAnswer answerOf(RunReport report, String requestId) {
    if (!report.isSetHead() || !report.isSetBody()) {
      return null;
    }
    AnswerHead head = report.getHead();
    return new StoredAnswer(head.getStatus(), of(head, requestId), report.getBody());
  }
}
