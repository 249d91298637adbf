package org.clementineford.entry.internal.requests;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.clementineford.kernel.MessageCatalog;
import org.clementineford.requests.RunState;
import org.clementineford.requests.attempts.EntryRefusal;

/** Creates the HTTP responses to refused requests. */
final class RefusalResponses {
  private static final MessageCatalog MESSAGES = MessageCatalog.of(RefusalResponses.class);
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long MS_PER_SECOND = 1000;

  private RefusalResponses() {}

  /** HTTP response to a refused request. */
  record Response(int status, Map<String, String> headers, byte[] body, String kind) {}

  static Response of(EntryRefusal refusal, RunState run, String requestId, String detail) {
    Response response =
        response(
            refusal.wireName(),
            refusal.status(),
            refusal.retryAfterMs(),
            run,
            requestId,
            MESSAGES.format(refusal.name(), detail));
    if (refusal.closesConnection()) {
      response.headers().put("Connection", "close");
    }
    return response;
  }

  static Response response(
      String kind, int status, long retryAfterMs, RunState run, String requestId, String message) {
    Map<String, String> headers = new HashMap<>();
    headers.put("Content-Type", "application/json");
    headers.put("Clementineford-Request", requestId);
    headers.put("Clementineford-Run", run.headerValue());
    if (retryAfterMs > 0) {
      // The header is in full seconds; rounding down would make callers retry too early.
      long seconds = (retryAfterMs + MS_PER_SECOND - 1) / MS_PER_SECOND;
      headers.put("Retry-After", Long.toString(seconds));
    }
    Map<String, String> error = new LinkedHashMap<>();
    error.put("kind", kind);
    error.put("run", run.headerValue());
    error.put("message", message);
    try {
      return new Response(status, headers, JSON.writeValueAsBytes(Map.of("error", error)), kind);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot encode a refusal as JSON", e);
    }
  }
}
