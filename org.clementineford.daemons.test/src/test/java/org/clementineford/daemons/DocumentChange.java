package org.clementineford.daemons;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.clementineford.kernel.HostPort;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;

/**
 * A change of one section of the document, as the admin server of an entry VM accepts it.
 *
 * @param identity identity of the change
 * @param section name of the section
 * @param team team that owns the section
 * @param baseRevision revision of the section that was read; 0 if it had no text
 * @param text new text, YAML
 */
record DocumentChange(
    String identity, String section, String team, long baseRevision, String text) {
  // The entry VM itself tries for 10 s to reach the platform.
  private static final long TIMEOUT_MS = 15_000;

  /**
   * Sends the change.
   *
   * @param client makes the call
   * @param admin admin address of an entry VM
   * @return the answer, whatever its status
   */
  CompletableFuture<HttpResponse> send(HttpClient client, HostPort admin) {
    ObjectNode body =
        JsonNodeFactory.instance
            .objectNode()
            .put("identity", identity)
            .put("section", section)
            .put("team", team)
            .put("baseRevision", baseRevision)
            .put("text", text);
    return client.call(
        admin,
        new HttpRequest(
            "POST",
            "/document/apply",
            Map.of("Content-Type", "application/json"),
            body.toString().getBytes(StandardCharsets.UTF_8)),
        TIMEOUT_MS);
  }
}
