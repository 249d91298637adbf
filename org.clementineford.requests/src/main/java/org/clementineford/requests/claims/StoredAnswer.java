package org.clementineford.requests.claims;

import java.util.Map;

/**
 * Stored answer of a finished request.
 *
 * @param status HTTP status
 * @param headers HTTP headers by name
 * @param body HTTP body; callers must not modify the array
 */
public record StoredAnswer(int status, Map<String, String> headers, byte[] body) {
  /** Creates an answer with a copy of the headers. */
  public StoredAnswer {
    headers = Map.copyOf(headers);
  }
}
