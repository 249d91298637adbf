package org.clementineford.bench.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.standins.EngineAnswers;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;

/**
 * Sends lookups and reservations at a fixed rate, alternating between entry VMs, and checks that
 * every answer is complete, belongs to its request, and was computed from complete weights.
 */
public final class Traffic {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long TIMEOUT_MS = 20_000;
  private static final int TOKENS = 12;
  private static final int LOOKUPS_PER_RESERVATION = 4;

  private final HttpClient client;
  private final Scheduler scheduler;
  private final List<HostPort> entries;
  private final String token;
  private final Map<String, String> digests;
  private final String run;
  private final Outcomes lookups = new Outcomes();
  private final Outcomes reservations = new Outcomes();
  private final AtomicLong number = new AtomicLong();
  private Scheduler.Cancellable ticks;

  /**
   * Creates a traffic generator that has not been started.
   *
   * @param client HTTP client that sends the requests
   * @param scheduler scheduler for the periodic sending
   * @param entries HTTP addresses of entry VMs
   * @param token bearer token of the client account
   * @param digests digest of the complete weights, by model version
   * @param run prefix of the request keys, which distinguishes this run from others
   */
  public Traffic(
      HttpClient client,
      Scheduler scheduler,
      List<HostPort> entries,
      String token,
      Map<String, String> digests,
      String run) {
    this.client = client;
    this.scheduler = scheduler;
    this.entries = List.copyOf(entries);
    this.token = token;
    this.digests = Map.copyOf(digests);
    this.run = run;
  }

  /**
   * Starts sending requests.
   *
   * @param intervalMs time between requests, in milliseconds
   */
  public void start(long intervalMs) {
    ticks = scheduler.scheduleWithFixedDelay(this::sendNext, intervalMs, TimeUnit.MILLISECONDS);
  }

  /** Stops sending; requests in flight continue. */
  public void stop() {
    ticks.cancel();
  }

  /**
   * Returns the outcomes of idempotent requests.
   *
   * @return counts that grow while requests end
   */
  public Outcomes lookups() {
    return lookups;
  }

  /**
   * Returns the outcomes of non-idempotent requests.
   *
   * @return counts that grow while requests end
   */
  public Outcomes reservations() {
    return reservations;
  }

  /**
   * Returns whether every request that was sent has ended.
   *
   * @return true if no request is in flight
   */
  public boolean allEnded() {
    return lookups.allEnded() && reservations.allEnded();
  }

  /**
   * Returns a traffic generator with the same settings and separate counts.
   *
   * @return traffic generator that has not been started
   */
  public Traffic withSeparateCounts() {
    return new Traffic(client, scheduler, entries, token, digests, run + "-other");
  }

  private void sendNext() {
    long next = number.incrementAndGet();
    HostPort entry = entries.get((int) (next % entries.size()));
    if (next % (LOOKUPS_PER_RESERVATION + 1) == 0) {
      reserve(entry, run + "-" + next);
    } else {
      lookUp(entry, run + "-" + next, next % 2 == 0);
    }
  }

  /**
   * Sends one lookup.
   *
   * @param entry HTTP address of the entry VM
   * @param name text that distinguishes the request
   * @param stream true for server-sent events
   * @return completes after the outcome was counted
   */
  public CompletableFuture<Void> lookUp(HostPort entry, String name, boolean stream) {
    String content = "Which lots of " + name + " are left?";
    JsonNode body =
        JSON.createObjectNode()
            .put("model", "assistant")
            .put("stream", stream)
            .put("max_tokens", TOKENS)
            .set(
                "messages",
                JSON.createArrayNode()
                    .add(JSON.createObjectNode().put("role", "user").put("content", content)));
    return send(
        entry,
        "/v1/chat/completions",
        Map.of(),
        body,
        lookups,
        name,
        answer -> checkLookup(answer, name, content, stream));
  }

  /**
   * Sends one reservation.
   *
   * @param entry HTTP address of the entry VM
   * @param key idempotency key
   * @return completes after the outcome was counted
   */
  public CompletableFuture<Void> reserve(HostPort entry, String key) {
    JsonNode body = JSON.createObjectNode().put("lot", key).put("quantity", 1);
    return send(
        entry,
        "/services/reservations/reservations",
        Map.of("Idempotency-Key", key),
        body,
        reservations,
        key,
        answer -> checkReservation(answer, key));
  }

  private CompletableFuture<Void> send(
      HostPort entry,
      String path,
      Map<String, String> headers,
      JsonNode body,
      Outcomes outcomes,
      String key,
      Consumer<HttpResponse> check) {
    Map<String, String> all = new HashMap<>(headers);
    all.put("Authorization", "Bearer " + token);
    all.put("Content-Type", "application/json");
    outcomes.sent();
    HttpRequest request =
        new HttpRequest("POST", path, all, body.toString().getBytes(StandardCharsets.UTF_8));
    CompletableFuture<Void> counted = new CompletableFuture<>();
    client
        .call(entry, request, TIMEOUT_MS)
        .whenComplete(
            (answer, failure) -> {
              if (failure != null) {
                outcomes.failed(failure.getMessage());
              } else if (answer.status() >= 400) {
                refusedOrFailed(answer, outcomes, key);
              } else {
                check.accept(answer);
              }
              counted.complete(null);
            });
    return counted;
  }

  private static void refusedOrFailed(HttpResponse answer, Outcomes outcomes, String key) {
    boolean retryable = answer.status() == 429 || answer.status() == 503;
    if (retryable && "not-run".equals(answer.headers().get("Clementineford-Run"))) {
      outcomes.refused(key);
    } else {
      outcomes.failed(
          "status "
              + answer.status()
              + ": "
              + new String(answer.body(), StandardCharsets.UTF_8).trim());
    }
  }

  private void checkLookup(HttpResponse answer, String key, String content, boolean stream) {
    String version = answer.headers().get("Clementineford-Model-Version");
    String digest = answer.headers().get("Clementineford-Weights-Digest");
    if (version == null || digest == null || !digest.equals(digests.get(version))) {
      lookups.wrong("answer from version " + version + " with digest " + digest);
      return;
    }
    try {
      String text = stream ? streamedText(answer.body()) : nonStreamedText(answer.body());
      if (text.equals(EngineAnswers.expected(content, TOKENS))) {
        lookups.answered(key, version);
      } else {
        lookups.wrong("wrong or partial answer");
      }
    } catch (IOException e) {
      lookups.wrong("malformed answer: " + e.getMessage());
    }
  }

  private void checkReservation(HttpResponse answer, String key) {
    try {
      if (JSON.readTree(answer.body()).path("lot").asText().equals(key)) {
        reservations.answered(key, "service");
      } else {
        reservations.wrong("answer to another reservation");
      }
    } catch (IOException e) {
      reservations.wrong("malformed answer: " + e.getMessage());
    }
  }

  private static String nonStreamedText(byte[] body) throws IOException {
    return JSON.readTree(body).at("/choices/0/message/content").asText();
  }

  private static String streamedText(byte[] body) throws IOException {
    String events = new String(body, StandardCharsets.UTF_8);
    if (!events.endsWith("data: [DONE]\n\n")) {
      return "";
    }
    StringBuilder text = new StringBuilder();
    for (String event : events.split("\n\n")) {
      if (event.startsWith("data: {")) {
        text.append(
            JSON.readTree(event.substring("data: ".length()))
                .at("/choices/0/delta/content")
                .asText());
      }
    }
    return text.toString();
  }
}
