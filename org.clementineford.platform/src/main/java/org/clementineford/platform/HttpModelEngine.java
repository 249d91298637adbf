package org.clementineford.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.CompletionExceptions;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.PlatformException;
import org.clementineford.kernel.platform.ModelEngine;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;
import org.clementineford.transport.http.ResponseBounds;

/**
 * HTTP client of a model engine. Reading the load fails after 2 s without a response. A load order
 * may take as long as the load: the engine sends white space while it loads, and the order fails
 * with {@code OUTCOME_UNKNOWN} if nothing arrives for 2 s.
 */
public final class HttpModelEngine implements ModelEngine {
  /** Longest time of a load that reports progress, in milliseconds. */
  private static final long MAX_LOAD_MS = 600_000;

  private static final String LOAD_REPORT = "the load report";
  private static final ObjectMapper JSON =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private final HttpCalls calls;

  /**
   * Creates an adapter.
   *
   * @param client client for the calls
   * @param address address of the engine
   */
  public HttpModelEngine(HttpClient client, HostPort address) {
    this.calls = new HttpCalls(client, address);
  }

  @Override
  public CompletableFuture<LoadedVersion> load(LoadOrder order) {
    HttpRequest request;
    try {
      request =
          new HttpRequest(
              "POST",
              "/orders/load",
              Map.of("Content-Type", "application/json"),
              JSON.writeValueAsBytes(order));
    } catch (JsonProcessingException e) {
      return CompletableFuture.failedFuture(e);
    }
    CompletableFuture<LoadedVersion> loaded = new CompletableFuture<>();
    calls
        .client()
        .call(
            calls.address(), request, ResponseBounds.whileActive(HttpCalls.TIMEOUT_MS, MAX_LOAD_MS))
        .whenComplete(
            (response, failure) -> {
              try {
                if (failure != null) {
                  throw calls.writeFailed(subject(order), CompletionExceptions.unwrap(failure));
                }
                loaded.complete(loaded(order, response));
              } catch (PlatformException e) {
                loaded.completeExceptionally(e);
              }
            });
    return loaded;
  }

  private LoadedVersion loaded(LoadOrder order, HttpResponse response) throws PlatformException {
    String subject = subject(order);
    switch (response.status()) {
      case 200 -> {}
      case 409 ->
          throw HttpCalls.failure(
              ErrorKind.FENCED, null, "fenced", calls.address(), subject, order.fencingNumber());
      case 429, 503 ->
          throw HttpCalls.failure(
              ErrorKind.UNAVAILABLE,
              null,
              "write-refused",
              subject,
              calls.address(),
              response.status());
      default ->
          throw HttpCalls.failure(
              response.status() < 500 ? ErrorKind.INTERNAL : ErrorKind.OUTCOME_UNKNOWN,
              null,
              "load-failed",
              calls.address(),
              subject,
              "status " + response.status());
    }
    try {
      JsonNode report = JSON.readTree(response.body());
      if (report.has("error")) {
        throw HttpCalls.failure(
            ErrorKind.UNAVAILABLE,
            null,
            "load-failed",
            calls.address(),
            subject,
            report.get("error").asText());
      }
      return JSON.treeToValue(report, LoadedVersion.class);
    } catch (IOException e) {
      throw calls.malformed(ErrorKind.OUTCOME_UNKNOWN, subject, e.getMessage());
    }
  }

  @Override
  public CompletableFuture<EngineLoad> readLoad() {
    return HttpCalls.convert(
        calls.read("/load", LOAD_REPORT, HttpCalls.TIMEOUT_MS),
        response -> {
          if (response.status() != 200) {
            throw calls.readFailed(LOAD_REPORT, "status " + response.status());
          }
          try {
            return JSON.readValue(response.body(), EngineLoad.class);
          } catch (IOException e) {
            throw calls.malformed(ErrorKind.UNAVAILABLE, LOAD_REPORT, e.getMessage());
          }
        });
  }

  private static String subject(LoadOrder order) {
    return "model " + order.model() + " version " + order.version();
  }
}
