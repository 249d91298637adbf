package org.clementineford.endpoint.internal.requests;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/**
 * Load report of an engine.
 *
 * @param slots requests that fit into the batch
 * @param ageMs age of the report when it was read, in milliseconds
 */
record EngineLoad(int slots, long ageMs) {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Reads the body of {@code GET /load}. */
  static EngineLoad parse(byte[] body) throws IOException {
    JsonNode load = JSON.readTree(body);
    return new EngineLoad(load.path("slots").asInt(0), load.path("ageMs").asLong(0));
  }
}
