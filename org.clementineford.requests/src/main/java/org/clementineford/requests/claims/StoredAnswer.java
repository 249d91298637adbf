package org.clementineford.requests.claims;

import java.util.Map;

/**
 * Answer of a finished request.
 *
 * @param status HTTP status
 * @param headers HTTP headers by name
 * @param body the body; callers must not change the array
 */
public record StoredAnswer(int status, Map<String, String> headers, byte[] body) {
  /** Copies the headers. */
  public StoredAnswer {
    headers = Map.copyOf(headers);
  }
}
