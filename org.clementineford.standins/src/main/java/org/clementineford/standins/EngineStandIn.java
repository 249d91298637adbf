package org.clementineford.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.Scheduler.Cancellable;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.platform.ModelEngine.EngineLoad;
import org.clementineford.kernel.platform.ModelEngine.LoadOrder;
import org.clementineford.kernel.platform.ModelEngine.LoadedVersion;
import org.clementineford.standins.internal.EngineAnswer;
import org.clementineford.standins.internal.EngineBatch;
import org.clementineford.standins.internal.EngineRequest;
import org.clementineford.standins.internal.EngineWeights;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpExchange;
import org.clementineford.transport.http.HttpRequest;

/**
 * Simulates a model engine: {@code POST /v1/chat/completions}, {@code GET /load}, {@code POST
 * /orders/load}, {@code POST /cancel/REQUEST}. Faults: OUTAGE, HANG, SLOWNESS, BROKEN_STREAM,
 * WRONG_REQUEST_ID. Counts {@code requests}, {@code finished}, {@code abandoned}, {@code loads},
 * {@code fenced} and {@code loadFailures}.
 */
public final class EngineStandIn extends HttpStandIn {
  private final EngineOptions options;
  private final HttpClient client;
  private final EngineWeights weights;
  private final EngineBatch batch;
  private final Map<EngineRequest, EngineAnswer> answers = new ConcurrentHashMap<>();
  private volatile LoadSnapshot snapshot;
  private Cancellable snapshots;

  /**
   * Creates an engine without weights.
   *
   * @param context address, time and seed of the stand-in
   * @param options timing, capacity and checks of the engine
   */
  public EngineStandIn(StandInContext context, EngineOptions options) {
    super(context);
    this.options = options;
    this.client = new HttpClient(context.eventLoops(), LinkShaping.NONE);
    this.weights =
        new EngineWeights(client, context.scheduler(), options.checksFencing(), counters(), JSON);
    this.batch = new EngineBatch(options.slots(), this::begin);
  }

  @Override
  public void start() throws ClementinefordException {
    super.start();
    updateSnapshot();
    if (options.loadLagMs() > 0) {
      snapshots =
          context()
              .scheduler()
              .scheduleWithFixedDelay(
                  this::updateSnapshot, options.loadLagMs(), TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Sets the weights without a load order.
   *
   * @param loaded weights to answer with; null for none
   */
  public void setLoaded(LoadedVersion loaded) {
    weights.set(loaded);
  }

  /**
   * Returns the weights that new requests are answered with.
   *
   * @return the weights, or null if none were loaded
   */
  public LoadedVersion loaded() {
    return weights.loaded();
  }

  @Override
  protected void handle(HttpExchange exchange) {
    HttpRequest request = exchange.request();
    String path = request.path();
    try {
      if (path.equals("/load")) {
        reportLoad(exchange);
      } else if (path.equals("/v1/chat/completions")) {
        accept(exchange, JSON.readTree(request.body()));
      } else if (path.equals("/orders/load")) {
        weights.load(exchange, JSON.readValue(request.body(), LoadOrder.class));
      } else if (path.startsWith("/cancel/")) {
        cancel(exchange, path.substring("/cancel/".length()));
      } else {
        respondError(exchange, 404, "no such path");
      }
    } catch (IOException e) {
      respondError(exchange, 400, "malformed body: " + e.getMessage());
    }
  }

  private void accept(HttpExchange exchange, JsonNode body) {
    LoadedVersion loaded = weights.loaded();
    String model = body.path("model").asText();
    if (loaded == null || !loaded.model().equals(model)) {
      respondError(exchange, 503, "model " + model + " is not loaded");
      return;
    }
    counters().add("requests", 1);
    String requestId = exchange.request().header("X-Request-Id");
    if (requestId == null) {
      requestId = "unnamed-" + counters().get("requests");
    }
    boolean wrongId = faults().tryConsume(StandInFaultKind.WRONG_REQUEST_ID).isPresent();
    EngineRequest request =
        new EngineRequest(
            exchange,
            requestId,
            wrongId ? "other-" + requestId : requestId,
            model,
            EngineAnswers.prompt(body),
            Math.max(1, body.path("max_tokens").asInt(options.tokens())),
            body.path("stream").asBoolean(false),
            "urgent".equals(exchange.request().header("X-Priority")),
            faults().tryConsume(StandInFaultKind.BROKEN_STREAM).isPresent());
    exchange.onClosed(() -> abandon(request));
    batch.submit(request);
  }

  private void begin(EngineRequest request) {
    SplittableRandom source = EngineAnswers.tokens(request.prompt());
    EngineAnswer answer =
        new EngineAnswer(
            request,
            weights.loaded(),
            options,
            context().scheduler(),
            () -> EngineAnswers.nextToken(source),
            () -> end(request));
    answers.put(request, answer);
    answer.start();
  }

  private void end(EngineRequest request) {
    answers.remove(request);
    if (batch.remove(request)) {
      counters().add("finished", 1);
    }
  }

  private boolean abandon(EngineRequest request) {
    EngineAnswer answer = answers.remove(request);
    if (answer != null) {
      answer.stop();
    }
    boolean removed = batch.remove(request);
    if (removed) {
      counters().add("abandoned", 1);
    }
    return removed;
  }

  private void cancel(HttpExchange exchange, String requestId) {
    EngineRequest request = batch.find(requestId);
    if (request == null || !abandon(request)) {
      respondError(exchange, 404, "no such request");
      return;
    }
    request.exchange().abort();
    respondJson(exchange, 200, Map.of());
  }

  private void updateSnapshot() {
    snapshot =
        new LoadSnapshot(
            batch.running(), batch.queued(), weights.loaded(), context().clock().nanoTime());
  }

  private void reportLoad(HttpExchange exchange) {
    if (options.loadLagMs() == 0) {
      updateSnapshot();
    }
    LoadSnapshot current = snapshot;
    long age = TimeUnit.NANOSECONDS.toMillis(context().clock().nanoTime() - current.takenNanos());
    respondJson(
        exchange,
        200,
        new EngineLoad(
            current.running(), current.queued(), options.slots(), age, current.loaded()));
  }

  @Override
  public void close() {
    if (snapshots != null) {
      snapshots.cancel();
    }
    super.close();
    client.close();
  }

  private record LoadSnapshot(int running, int queued, LoadedVersion loaded, long takenNanos) {}
}
