package org.clementineford.serving.model;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Metadata that a caller sends with a request: host, path, and headers that describe the request.
 *
 * @param id ID of this attempt of the caller; empty if the caller sends none
 * @param host host name that the caller sent
 * @param path path of the URL without the query
 * @param timeoutMs time for which the caller waits for the answer, in milliseconds; empty if not
 *     sent
 * @param key API key of a client account; empty if not sent
 * @param promptTokens number of prompt tokens; 0 if not sent
 * @param maxAnswerTokens largest number of answer tokens; 0 if not sent
 * @param expectedTokens caller's estimate of the number of answer tokens; empty if not sent
 * @param resumeAfter ID of the last stream event that the caller received; empty if not sent
 * @param sharedPromptParts IDs of the parts of the prompt that other requests may share, in the
 *     order of the prompt; the last part belongs to this request alone and is left out
 */
public record RequestMetadata(
    String id,
    String host,
    String path,
    OptionalLong timeoutMs,
    Optional<String> key,
    int promptTokens,
    int maxAnswerTokens,
    OptionalInt expectedTokens,
    Optional<String> resumeAfter,
    List<String> sharedPromptParts) {
  /** Creates metadata with an unmodifiable copy of the list of parts. */
  public RequestMetadata {
    sharedPromptParts = List.copyOf(sharedPromptParts);
  }
}
