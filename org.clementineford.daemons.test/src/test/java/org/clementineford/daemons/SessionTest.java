package org.clementineford.daemons;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.clementineford.kernel.HostPort;
import org.clementineford.standins.EngineOptions;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;
import org.junit.jupiter.api.Test;

/**
 * Guards the outside behaviour of a whole session: every status, header, body and message that
 * callers and operators see. {@code -Dgolden.write=FILE} writes the transcript to a file instead of
 * comparing it.
 */
class SessionTest {
  private static final Set<String> KINDS =
      Set.of("REVISION_ACCEPTED", "TRANSFER_STARTED", "TRANSFER_WHOLE", "VERSION_ACTIVATED");
  private static final String RESERVATION = "{\"lot\":\"bourbon-7\",\"quantity\":2}";
  private static final String SERVICE_PATH = "/services/reservations/reservations";

  private Fleet fleet;
  private Transcript transcript;

  @Test
  void sessionMatchesTheGoldenFile() throws Exception {
    try (Fleet started = new Fleet(new EngineOptions(5, 5, 3, 32, true, 200))) {
      fleet = started;
      transcript = new Transcript(fleet.digests);
      before();
      fleet.serve("v1");
      lookups();
      reservations();
      refusedChanges();
      fleet.order("v2");
      fleet.awaitServed("v2", fleet.engines);
      lookUp("lookup after the change to v2", true);
      outage();
      timeline();
      compare(transcript.toString());
    }
  }

  private void before() throws Exception {
    send("ready before any document", request("GET", "/ready", Map.of(), ""));
    lookUp("lookup before any document", false);
  }

  private void lookups() throws Exception {
    send("ready", request("GET", "/ready", Map.of(), ""));
    lookUp("lookup", false);
    lookUp("streamed lookup", true);
    send(
        "wrong token",
        request("POST", "/v1/chat/completions", Map.of("Authorization", "Bearer other"), "{}"));
    send(
        "unknown model",
        request("POST", "/v1/chat/completions", authorized(Map.of()), "{\"model\":\"other\"}"));
    send(
        "malformed body",
        request("POST", "/v1/chat/completions", authorized(Map.of()), "{\"model\""));
    send("unknown service", request("GET", "/services/other/x", authorized(Map.of()), ""));
  }

  private void reservations() throws Exception {
    Map<String, String> keyed = authorized(Map.of("Idempotency-Key", "k-1"));
    send("reservation with key", request("POST", SERVICE_PATH, keyed, RESERVATION));
    send("the same reservation again", request("POST", SERVICE_PATH, keyed, RESERVATION));
    send("another reservation with its key", request("POST", SERVICE_PATH, keyed, "{}"));
    send(
        "reservation without key",
        request("POST", SERVICE_PATH, authorized(Map.of()), RESERVATION));
    send("stock", request("GET", "/services/reservations/stock", authorized(Map.of()), ""));
    send("unknown path", request("GET", "/other", authorized(Map.of()), ""));
  }

  private void refusedChanges() throws Exception {
    change("change by another team", new DocumentChange("c-1", "models", "other", 2, "models: {}"));
    change(
        "change of an old revision",
        new DocumentChange("c-2", "models", "models", 1, "models: {}"));
    change(
        "change with an unknown policy",
        new DocumentChange(
            "c-3",
            "models",
            "models",
            2,
            "models:\n  assistant: {version: v2, policy: FASTEST}\n"));
  }

  private void outage() throws Exception {
    fleet.platform.startOutage();
    send(
        "reservation with key while the platform is down",
        request("POST", SERVICE_PATH, authorized(Map.of("Idempotency-Key", "k-2")), RESERVATION));
    lookUp("lookup while the platform is down", false);
    change(
        "change while the platform is down",
        new DocumentChange("c-4", "models", "models", 3, "models: {}"));
    fleet.platform.endOutage();
  }

  private void timeline() throws Exception {
    HttpResponse answer =
        Await.value(
            fleet.client.call(
                fleet.entries.get(0).adminAddress(),
                request("GET", "/timeline", Map.of(), ""),
                5000));
    Map<String, Integer> counts = new TreeMap<>();
    for (JsonNode member : new ObjectMapper().readTree(answer.body()).path("members")) {
      for (JsonNode event : member.path("events")) {
        String kind = event.path("kind").asText();
        if (KINDS.contains(kind)) {
          String version = event.path("attributes").path("version").asText();
          counts.merge(
              (member.path("role").asText() + " " + kind + " " + version), 1, Integer::sum);
        }
      }
    }
    StringBuilder lines = new StringBuilder();
    counts.forEach((event, count) -> lines.append(event).append(" x").append(count).append('\n'));
    transcript.add("events of the timeline", lines.toString().strip());
  }

  private void lookUp(String step, boolean stream) throws Exception {
    String body =
        "{\"model\":\"assistant\",\"max_tokens\":3,\"stream\":"
            + stream
            + ",\"messages\":[{\"role\":\"user\",\"content\":\"Which lots are left?\"}]}";
    send(step, request("POST", "/v1/chat/completions", authorized(Map.of()), body));
  }

  private void send(String step, HttpRequest request) throws Exception {
    HostPort entry = fleet.callerAddresses.get(0);
    transcript.add(step, Await.value(fleet.client.call(entry, request, 10_000)));
  }

  private void change(String step, DocumentChange change) throws Exception {
    transcript.add(
        step, Await.value(change.send(fleet.client, fleet.entries.get(0).adminAddress())));
  }

  private static Map<String, String> authorized(Map<String, String> more) {
    Map<String, String> headers = new HashMap<>(more);
    headers.put("Authorization", "Bearer " + Fleet.TOKEN);
    return headers;
  }

  private static HttpRequest request(
      String method, String target, Map<String, String> headers, String body) {
    return new HttpRequest(method, target, headers, body.getBytes(StandardCharsets.UTF_8));
  }

  private static void compare(String actual) throws Exception {
    String file = System.getProperty("golden.write");
    if (file != null) {
      Files.writeString(Path.of(file), actual);
      return;
    }
    try (InputStream golden = SessionTest.class.getResourceAsStream("session.golden")) {
      assertThat(actual).isEqualTo(new String(golden.readAllBytes(), StandardCharsets.UTF_8));
    }
  }
}
