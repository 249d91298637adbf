package org.clementineford.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.clementineford.transport.http.HttpExchange;
import org.clementineford.transport.http.HttpRequest;

/**
 * Simulates a service with a non-idempotent call: each {@code POST /reservations} makes a new
 * reservation. Also serves {@code GET /reservations/ID}, {@code GET /stock} and, as ground truth,
 * {@code GET /runs} with the number of runs by {@code Idempotency-Key} and by {@code X-Request-Id}.
 * The answer to a reservation repeats the fields of its request, so that a caller can detect the
 * answer to another request. Faults: OUTAGE, HANG, SLOWNESS, LOST_REPLY (after the run).
 */
public final class ServiceStandIn extends HttpStandIn {
  private static final String RESERVATIONS = "/reservations";
  private static final int INITIAL_STOCK = 1_000_000;

  private final Map<String, ObjectNode> reservations = new TreeMap<>();
  private final Map<String, Integer> runsByKey = new TreeMap<>();
  private final Map<String, Integer> runsByRequest = new TreeMap<>();
  private long reserved;

  /**
   * Creates a service without reservations.
   *
   * @param context address, time and seed of the stand-in
   */
  public ServiceStandIn(StandInContext context) {
    super(context);
  }

  @Override
  protected void handle(HttpExchange exchange) {
    HttpRequest request = exchange.request();
    String path = request.path();
    counters().add(request.method(), 1);
    if (request.method().equals("POST") && path.equals(RESERVATIONS)) {
      reserve(exchange);
    } else if (path.startsWith(RESERVATIONS + "/")) {
      find(exchange, path.substring(RESERVATIONS.length() + 1));
    } else if (path.equals("/stock")) {
      respond(exchange, 200, Map.of("pods", stock()));
    } else if (path.equals("/runs")) {
      respondJson(exchange, 200, runs());
    } else {
      respondError(exchange, 404, "no such path");
    }
  }

  private void reserve(HttpExchange exchange) {
    ObjectNode reservation;
    try {
      JsonNode body = JSON.readTree(exchange.request().body());
      if (!body.isObject()) {
        throw new IOException("the body is not a JSON object");
      }
      reservation = run(exchange.request(), (ObjectNode) body);
    } catch (IOException e) {
      respondError(exchange, 400, e.getMessage());
      return;
    }
    if (faults().tryConsume(StandInFaultKind.LOST_REPLY).isPresent()) {
      exchange.abort();
    } else {
      respond(exchange, 201, reservation);
    }
  }

  private synchronized ObjectNode run(HttpRequest request, ObjectNode body) {
    count(runsByKey, request.header("Idempotency-Key"));
    count(runsByRequest, request.header("X-Request-Id"));
    String id = "r-" + (reservations.size() + 1);
    ObjectNode reservation = body.deepCopy().put("reservation", id);
    reservations.put(id, reservation);
    reserved += body.path("quantity").asLong(1);
    return reservation;
  }

  private static void count(Map<String, Integer> runs, String name) {
    if (name != null) {
      runs.merge(name, 1, Integer::sum);
    }
  }

  private void find(HttpExchange exchange, String id) {
    ObjectNode reservation;
    synchronized (this) {
      reservation = reservations.get(id);
    }
    if (reservation == null) {
      respondError(exchange, 404, "no such reservation");
    } else {
      respond(exchange, 200, reservation);
    }
  }

  private static void respond(HttpExchange exchange, int status, Object value) {
    String request = exchange.request().header("X-Request-Id");
    if (request == null) {
      respondJson(exchange, status, value);
      return;
    }
    try {
      exchange.respond(
          status,
          Map.of("Content-Type", "application/json", "X-Request-Id", request),
          JSON.writeValueAsBytes(value));
    } catch (IOException e) {
      respondError(exchange, 500, e.getMessage());
    }
  }

  private synchronized long stock() {
    return INITIAL_STOCK - reserved;
  }

  /**
   * Returns the number of reservations that were run.
   *
   * @return a consistent copy
   */
  public synchronized Runs runs() {
    return new Runs(reservations.size(), Map.copyOf(runsByKey), Map.copyOf(runsByRequest));
  }

  /**
   * Number of reservations that were run, the ground truth for tests.
   *
   * @param total number of runs
   * @param byKey runs by Idempotency-Key
   * @param byRequest runs by X-Request-Id
   */
  public record Runs(int total, Map<String, Integer> byKey, Map<String, Integer> byRequest) {}
}
