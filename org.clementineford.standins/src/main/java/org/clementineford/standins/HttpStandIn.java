package org.clementineford.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpExchange;
import org.clementineford.transport.http.HttpServer;

/**
 * Base class of the stand-ins, which handles fault injection and counters: {@code POST /faults}
 * sets a fault from JSON with the fields of {@link StandInFaults.Fault}, or clears it with {@code
 * "clear": true}; {@code GET /counters} returns the counters. Faults do not affect these two paths.
 */
public abstract class HttpStandIn implements AutoCloseable {
  /** Reads and writes JSON. */
  protected static final ObjectMapper JSON = new ObjectMapper();

  private static final int MAX_BODY_BYTES = 2 << 20;
  private static final Map<String, String> JSON_TYPE = Map.of("Content-Type", "application/json");

  private final StandInContext context;
  private final StandInFaults faults;
  private final Counters counters = new Counters();
  private HttpServer server;

  /**
   * Creates a stand-in that does not listen yet.
   *
   * @param context address, time and seed of the stand-in
   */
  protected HttpStandIn(StandInContext context) {
    this.context = context;
    this.faults = new StandInFaults(context.seed());
  }

  /**
   * Starts the HTTP server.
   *
   * @throws ClementinefordException if the server cannot listen on the address
   */
  public void start() throws ClementinefordException {
    server =
        HttpServer.start(
            context.eventLoops(),
            context.address(),
            MAX_BODY_BYTES,
            LinkShaping.NONE,
            this::receive);
  }

  /**
   * Returns the address of the server.
   *
   * @return address with the actual port
   */
  public HostPort address() {
    return server.address();
  }

  /**
   * Returns the faults of this stand-in.
   *
   * @return faults that can be set and cleared at any time
   */
  public StandInFaults faults() {
    return faults;
  }

  /**
   * Returns the counters of this stand-in.
   *
   * @return the counters
   */
  public Counters counters() {
    return counters;
  }

  /**
   * Returns the context that the stand-in was created with.
   *
   * @return the context
   */
  protected StandInContext context() {
    return context;
  }

  /**
   * Handles a call that is affected by neither an outage nor a hang, after the delay of a slowness
   * fault.
   *
   * @param exchange the call
   */
  protected abstract void handle(HttpExchange exchange);

  /** Called after a fault was set or cleared by {@code POST /faults}. */
  protected void onFaultsChanged() {}

  private void receive(HttpExchange exchange) {
    String path = exchange.request().path();
    if (path.equals("/faults")) {
      changeFaults(exchange);
    } else if (path.equals("/counters")) {
      respondJson(exchange, 200, counters.all());
    } else if (faults.tryConsume(StandInFaultKind.OUTAGE).isPresent()) {
      counters.add("outage", 1);
      respondError(exchange, 503, "injected outage");
    } else if (faults.tryConsume(StandInFaultKind.HANG).isPresent()) {
      counters.add("hang", 1);
    } else {
      Optional<StandInFaults.Fault> slowness = faults.tryConsume(StandInFaultKind.SLOWNESS);
      if (slowness.isPresent()) {
        context
            .scheduler()
            .schedule(() -> handle(exchange), slowness.get().millis(), TimeUnit.MILLISECONDS);
      } else {
        handle(exchange);
      }
    }
  }

  private void changeFaults(HttpExchange exchange) {
    try {
      JsonNode change = JSON.readTree(exchange.request().body());
      StandInFaultKind kind = StandInFaultKind.valueOf(change.path("kind").asText());
      if (change.path("clear").asBoolean(false)) {
        faults.clear(kind);
      } else {
        faults.set(
            new StandInFaults.Fault(
                kind,
                change.path("share").asDouble(1),
                change.path("count").asLong(StandInFaults.Fault.UNLIMITED),
                change.path("millis").asLong(0)));
      }
      onFaultsChanged();
      respondJson(exchange, 200, Map.of());
    } catch (IOException | IllegalArgumentException e) {
      respondError(exchange, 400, "not a fault: " + e.getMessage());
    }
  }

  /**
   * Answers with a value as JSON.
   *
   * @param exchange the call
   * @param status HTTP status
   * @param value the value
   */
  protected static void respondJson(HttpExchange exchange, int status, Object value) {
    respondJson(exchange, status, value, Map.of());
  }

  /**
   * Answers with a value as JSON.
   *
   * @param exchange the call
   * @param status HTTP status
   * @param value the value
   * @param headers headers in addition to the content type
   */
  protected static void respondJson(
      HttpExchange exchange, int status, Object value, Map<String, String> headers) {
    try {
      Map<String, String> all = new HashMap<>(headers);
      all.putAll(JSON_TYPE);
      exchange.respond(status, all, JSON.writeValueAsBytes(value));
    } catch (JsonProcessingException e) {
      exchange.respond(500, Map.of(), e.getMessage().getBytes(StandardCharsets.UTF_8));
    }
  }

  /**
   * Answers with an error.
   *
   * @param exchange the call
   * @param status HTTP status
   * @param message cause of the error
   */
  protected static void respondError(HttpExchange exchange, int status, String message) {
    respondJson(exchange, status, Map.of("error", message));
  }

  @Override
  public void close() {
    if (server != null) {
      server.close();
    }
  }
}
