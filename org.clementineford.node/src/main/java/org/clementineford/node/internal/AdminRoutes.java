package org.clementineford.node.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.transport.http.HttpExchange;
import org.clementineford.transport.http.HttpHandler;

/** Dispatches requests to the admin server by method and path. */
public final class AdminRoutes implements HttpHandler {
  /** Response header with the name of the {@link ErrorKind}. */
  public static final String ERROR_KIND_HEADER = "Clementineford-Error-Kind";

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Map<String, HttpHandler> handlers = new ConcurrentHashMap<>();

  /**
   * Registers a handler.
   *
   * @param method HTTP method
   * @param path path without the query
   * @param handler handler of the requests
   */
  public void register(String method, String path, HttpHandler handler) {
    handlers.put(method + " " + path, handler);
  }

  @Override
  public void handle(HttpExchange exchange) {
    String key = exchange.request().method() + " " + exchange.request().path();
    HttpHandler handler = handlers.get(key);
    if (handler == null) {
      respondText(exchange, 404, "no handler for " + key + "; available: " + handlers.keySet());
      return;
    }
    handler.handle(exchange);
  }

  /**
   * Responds with text.
   *
   * @param exchange the request
   * @param status HTTP status
   * @param text the body
   */
  public static void respondText(HttpExchange exchange, int status, String text) {
    exchange.respond(
        status,
        Map.of("Content-Type", "text/plain; charset=utf-8"),
        (text + "\n").getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Responds with status 200 and a value as JSON.
   *
   * @param exchange the request
   * @param value value that Jackson can serialize
   */
  public static void respondJson(HttpExchange exchange, Object value) {
    try {
      exchange.respond(
          200, Map.of("Content-Type", "application/json"), JSON.writeValueAsBytes(value));
    } catch (JsonProcessingException e) {
      respondText(exchange, 500, "cannot write the response as JSON; report this defect");
    }
  }

  /**
   * Responds with a failure.
   *
   * @param exchange the request
   * @param failure the failure
   */
  public static void respondFailure(HttpExchange exchange, ClementinefordException failure) {
    int status =
        switch (failure.kind()) {
          case INVALID_SETTING, INVALID_DOCUMENT -> 400;
          case CONFLICT, FENCED -> 409;
          case NOT_OWNER -> 403;
          case NOT_FOUND -> 404;
          case UNAVAILABLE -> 503;
          case OUTCOME_UNKNOWN -> 504;
          default -> 500;
        };
    exchange.respond(
        status,
        Map.of(
            "Content-Type", "text/plain; charset=utf-8", ERROR_KIND_HEADER, failure.kind().name()),
        (failure.getMessage() + "\n").getBytes(StandardCharsets.UTF_8));
  }
}
