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
 * Carries out orders to load. The answer starts at once and gets white space while the load lasts,
 * so the sender can tell a long load from an engine that hangs. The newest order wins.
 */
public final class EngineWeights {
  private static final long PROGRESS_MS = 500;
  private static final byte[] WHITE_SPACE = {'\n'};

  private final HttpClient client;
  private final Scheduler scheduler;
  private final boolean checksFencing;
  private final Counters counters;
  private final ObjectMapper json;
  private long highestNumber = Long.MIN_VALUE;
  private long newestOrder;
  private volatile LoadedVersion loaded;

  /**
   * Creates an engine without weights.
   *
   * @param client reads weights
   * @param scheduler timers
   * @param checksFencing true to refuse numbers below the highest seen
   * @param counters counts {@code loads}, {@code fenced} and {@code loadFailures}
   * @param json writes answers
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
   * Returns the weights that new requests are answered from.
   *
   * @return the weights, or null if none were loaded
   */
  public LoadedVersion loaded() {
    return loaded;
  }

  /**
   * Sets the weights without reading them.
   *
   * @param weights what to answer from; null for none
   */
  public void set(LoadedVersion weights) {
    loaded = weights;
  }

  /**
   * Carries out an order.
   *
   * @param exchange the call
   * @param order the order
   */
  public void load(HttpExchange exchange, LoadOrder order) {
    long number;
    synchronized (this) {
      if (checksFencing && order.fencingNumber() < highestNumber) {
        counters.add("fenced", 1);
        exchange.respond(409, Map.of(), error("fencing number below " + highestNumber));
        return;
      }
      highestNumber = Math.max(highestNumber, order.fencingNumber());
      number = ++newestOrder;
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
                  failure == null ? finish(order, number, result) : failed(failure.getMessage()));
              exchange.finish();
            });
  }

  private byte[] finish(LoadOrder order, long number, WeightFetch.Result result) {
    if (result.length() != order.length() || !result.digest().equals(order.digest())) {
      return failed(
          "read " + result.length() + " bytes with digest " + result.digest() + ", not as ordered");
    }
    LoadedVersion next = new LoadedVersion(order.model(), order.version(), result.digest());
    synchronized (this) {
      if (number != newestOrder) {
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
