package org.clementineford.standins.internal;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.platform.ModelEngine.LoadOrder;
import org.clementineford.kernel.platform.ModelEngine.LoadedVersion;
import org.clementineford.standins.Counters;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpExchange;

/**
 * Carries out load orders. The answer starts immediately and is extended by white space while the
 * load runs, so that the sender can distinguish a long load from an engine that hangs. A newer
 * order supersedes older ones.
 */
public final class EngineWeights {
  private static final long PROGRESS_MS = 500;
  private static final byte[] WHITE_SPACE = {'\n'};

  private final HttpClient client;
  private final Scheduler scheduler;
  private final boolean checksFencing;
  private final Counters counters;
  private final ObjectMapper json;
  private long highestFencingNumber = Long.MIN_VALUE;
  private long lastOrderNumber;
  private volatile LoadedVersion loaded;

  /**
   * Creates an engine without weights.
   *
   * @param client HTTP client that reads the weights
   * @param scheduler timers
   * @param checksFencing true to refuse fencing numbers below the highest received
   * @param counters counts {@code loads}, {@code fenced} and {@code loadFailures}
   * @param json JSON mapper for the answers
   */
  public EngineWeights(
      HttpClient client,
      Scheduler scheduler,
      boolean checksFencing,
      Counters counters,
      ObjectMapper json) {
    this.client = client;
    this.scheduler = scheduler;
    this.checksFencing = checksFencing;
    this.counters = counters;
    this.json = json;
  }

  /**
   * Returns the weights that new requests are answered with.
   *
   * @return the weights, or null if none were loaded
   */
  public LoadedVersion loaded() {
    return loaded;
  }

  /**
   * Sets the weights without reading them.
   *
   * @param weights weights to answer with; null for none
   */
  public void set(LoadedVersion weights) {
    loaded = weights;
  }

  /**
   * Carries out a load order.
   *
   * @param exchange the call
   * @param order the order
   */
  public void load(HttpExchange exchange, LoadOrder order) {
    long orderNumber;
    synchronized (this) {
      if (checksFencing && order.fencingNumber() < highestFencingNumber) {
        counters.add("fenced", 1);
        exchange.respond(409, Map.of(), error("fencing number below " + highestFencingNumber));
        return;
      }
      highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber());
      orderNumber = ++lastOrderNumber;
    }
    exchange.start(200, Map.of("Content-Type", "application/json"));
    Scheduler.Cancellable progress =
        scheduler.scheduleWithFixedDelay(
            () -> exchange.write(WHITE_SPACE), PROGRESS_MS, TimeUnit.MILLISECONDS);
    WeightFetch.start(client, order.url())
        .whenComplete(
            (result, failure) -> {
              progress.cancel();
              exchange.write(
                  failure == null
                      ? finish(order, orderNumber, result)
                      : failed(failure.getMessage()));
              exchange.finish();
            });
  }

  private byte[] finish(LoadOrder order, long orderNumber, WeightFetch.Result result) {
    if (result.length() != order.length() || !result.digest().equals(order.digest())) {
      return failed(
          "read "
              + result.length()
              + " bytes with digest "
              + result.digest()
              + ", which differ from the load order");
    }
    LoadedVersion next = new LoadedVersion(order.model(), order.version(), result.digest());
    synchronized (this) {
      if (orderNumber != lastOrderNumber) {
        return failed("a newer order replaced this one");
      }
      loaded = next;
    }
    counters.add("loads", 1);
    try {
      return json.writeValueAsBytes(next);
    } catch (IOException e) {
      return failed(e.getMessage());
    }
  }

  private byte[] failed(String reason) {
    counters.add("loadFailures", 1);
    return error(reason);
  }

  private byte[] error(String reason) {
    return json.createObjectNode().put("error", reason).toString().getBytes(StandardCharsets.UTF_8);
  }
}
