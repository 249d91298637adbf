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

/**
 * A model engine over HTTP. The load report fails after 2 s without an answer. An order to load may
 * take as long as the load; the engine sends white space while it loads, and the order fails as
 * {@code OUTCOME_UNKNOWN} once nothing arrives for 2 s.
 */
public final class HttpModelEngine implements ModelEngine {
  private static final String LOAD_REPORT = "the load report";
  private static final ObjectMapper JSON =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private final HttpCalls calls;

  /**
   * Creates an adapter.
   *
   * @param client client that makes the calls
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
        .callWithIdleTimeout(calls.address(), request, HttpCalls.TIMEOUT_MS)
        .whenComplete(
            (answer, failure) -> {
              try {
                if (failure != null) {
                  throw calls.writeFailed(subject(order), CompletionExceptions.unwrap(failure));
                }
                loaded.complete(loaded(order, answer));
              } catch (PlatformException e) {
                loaded.completeExceptionally(e);
              }
            });
    return loaded;
  }

  private LoadedVersion loaded(LoadOrder order, HttpResponse answer) throws PlatformException {
    String subject = subject(order);
    switch (answer.status()) {
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
              answer.status());
      default ->
          throw HttpCalls.failure(
              answer.status() < 500 ? ErrorKind.INTERNAL : ErrorKind.OUTCOME_UNKNOWN,
              null,
              "load-failed",
              calls.address(),
              subject,
              "status " + answer.status());
    }
    try {
      JsonNode report = JSON.readTree(answer.body());
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
        answer -> {
          if (answer.status() != 200) {
            throw calls.readFailed(LOAD_REPORT, "status " + answer.status());
          }
          try {
            return JSON.readValue(answer.body(), EngineLoad.class);
          } catch (IOException e) {
            throw calls.malformed(ErrorKind.UNAVAILABLE, LOAD_REPORT, e.getMessage());
          }
        });
  }

  private static String subject(LoadOrder order) {
    return "model " + order.model() + " version " + order.version();
  }
}
