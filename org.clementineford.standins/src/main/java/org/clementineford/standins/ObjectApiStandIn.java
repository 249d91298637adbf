package org.clementineford.standins;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.Scheduler.Cancellable;
import org.clementineford.kernel.platform.VersionedObjectStore;
import org.clementineford.standins.internal.RateLimiter;
import org.clementineford.transport.http.HttpExchange;
import org.clementineford.transport.http.HttpRequest;

/**
 * Simulates the object API of section 5 of the design page. Version numbers increase across all
 * keys, so a key that is deleted and created again never reuses a version. Faults: OUTAGE, HANG,
 * SLOWNESS, LOST_REPLY, STALE_READ. Counts calls as {@code get}, {@code put}, {@code delete},
 * {@code watch} and {@code list}; calls over the rate limit are answered with status 429 and
 * counted as {@code limited}. Also serves the list of VMs at the same address, as the platform
 * does.
 */
public final class ObjectApiStandIn extends HttpStandIn {
  private static final String PREFIX = "/objects/";

  private final NavigableMap<String, Value> values = new TreeMap<>();
  private final Map<String, List<Watch>> watches = new HashMap<>();
  private final RateLimiter rate;
  private final VmListStandIn vmList;
  private long lastVersion;

  /**
   * Creates a store without objects, and an empty list of VMs whose updates are visible at once.
   *
   * @param context address, time and seed of the stand-in
   * @param callsPerSecond maximum calls per second; 0 for no limit
   */
  public ObjectApiStandIn(StandInContext context, long callsPerSecond) {
    this(context, callsPerSecond, new VmListStandIn(context, 0));
  }

  /**
   * Creates a store without objects.
   *
   * @param context address, time and seed of the stand-in
   * @param callsPerSecond maximum calls per second; 0 for no limit
   * @param vmList list of VMs to serve; its own server need not be started
   */
  public ObjectApiStandIn(StandInContext context, long callsPerSecond, VmListStandIn vmList) {
    super(context);
    this.rate = new RateLimiter(context.clock(), callsPerSecond);
    this.vmList = vmList;
  }

  /**
   * Returns the list of VMs that is served at the same address.
   *
   * @return the list
   */
  public VmListStandIn vmList() {
    return vmList;
  }

  @Override
  protected void handle(HttpExchange exchange) {
    HttpRequest request = exchange.request();
    if (!rate.tryTake()) {
      counters().add("limited", 1);
      respondError(exchange, 429, "too many calls");
      return;
    }
    if (request.path().equals("/vms")) {
      vmList.handle(exchange);
      return;
    }
    if (request.method().equals("GET") && request.path().equals("/objects")) {
      counters().add("list", 1);
      respondJson(exchange, 200, Map.of("keys", keys(request.queryParameter("prefix", ""))));
      return;
    }
    String path = new QueryStringDecoder(request.target()).path();
    if (!path.startsWith(PREFIX)) {
      respondError(exchange, 404, "no such path");
      return;
    }
    String key = path.substring(PREFIX.length());
    switch (request.method()) {
      case "GET" -> read(exchange, key);
      case "PUT" -> write(exchange, key, request.body());
      case "DELETE" -> write(exchange, key, null);
      default -> respondError(exchange, 405, "use GET, PUT or DELETE");
    }
  }

  private void read(HttpExchange exchange, String key) {
    String knownVersion = exchange.request().queryParameter("watch", null);
    if (knownVersion == null) {
      counters().add("get", 1);
      respond(exchange, value(key));
      return;
    }
    counters().add("watch", 1);
    long timeoutMs = Long.parseLong(exchange.request().queryParameter("timeout", "30000"));
    Value current;
    synchronized (this) {
      current = values.get(key);
      long version = current == null ? 0 : current.version();
      if (version == Long.parseLong(knownVersion)) {
        Watch watch = new Watch(exchange, key);
        watches.computeIfAbsent(key, any -> new ArrayList<>()).add(watch);
        watch.timeout =
            context().scheduler().schedule(() -> expire(watch), timeoutMs, TimeUnit.MILLISECONDS);
        exchange.onClosed(() -> remove(watch));
        return;
      }
    }
    respond(exchange, current);
  }

  private synchronized Value value(String key) {
    Value value = values.get(key);
    boolean stale = value != null && faults().tryConsume(StandInFaultKind.STALE_READ).isPresent();
    return stale ? value.previous() : value;
  }

  private static void respond(HttpExchange exchange, Value value) {
    if (value == null) {
      respondError(exchange, 404, "no such object");
    } else {
      exchange.respond(200, Map.of("ETag", "\"" + value.version() + "\""), value.bytes());
    }
  }

  private void write(HttpExchange exchange, String key, byte[] bytes) {
    counters().add(bytes == null ? "delete" : "put", 1);
    if (bytes != null && bytes.length > VersionedObjectStore.MAX_VALUE_BYTES) {
      respondError(exchange, 413, "value has " + bytes.length + " bytes");
      return;
    }
    Value written;
    List<Watch> notified;
    synchronized (this) {
      Value current = values.get(key);
      int errorStatus = errorStatus(exchange.request(), current);
      if (errorStatus != 0) {
        counters().add("conflict", 1);
        respondError(exchange, errorStatus, "the condition does not hold");
        return;
      }
      written = replace(key, current, bytes);
      notified = watches.getOrDefault(key, List.of());
      watches.remove(key);
    }
    for (Watch watch : notified) {
      watch.timeout.cancel();
      respond(watch.exchange, written);
    }
    if (faults().tryConsume(StandInFaultKind.LOST_REPLY).isPresent()) {
      exchange.abort();
    } else if (written == null) {
      exchange.respond(204, Map.of(), new byte[0]);
    } else {
      exchange.respond(200, Map.of("ETag", "\"" + written.version() + "\""), new byte[0]);
    }
  }

  private Value replace(String key, Value current, byte[] bytes) {
    lastVersion++;
    if (bytes == null) {
      values.remove(key);
      return null;
    }
    Value previous = current == null ? null : new Value(current.version(), current.bytes(), null);
    Value written = new Value(lastVersion, bytes, previous);
    values.put(key, written);
    return written;
  }

  private static int errorStatus(HttpRequest request, Value current) {
    String match = request.header("If-Match");
    if (match != null) {
      boolean holds = current != null && match.equals("\"" + current.version() + "\"");
      return holds ? 0 : 412;
    }
    if ("*".equals(request.header("If-None-Match"))) {
      return current == null ? 0 : 412;
    }
    return 428;
  }

  private synchronized List<String> keys(String prefix) {
    List<String> keys = new ArrayList<>();
    for (String key : values.tailMap(prefix, true).keySet()) {
      if (!key.startsWith(prefix)) {
        break;
      }
      keys.add(key);
    }
    return keys;
  }

  private void expire(Watch watch) {
    if (remove(watch)) {
      watch.exchange.respond(304, Map.of(), new byte[0]);
    }
  }

  private synchronized boolean remove(Watch watch) {
    watch.timeout.cancel();
    List<Watch> pending = watches.get(watch.key);
    return pending != null && pending.remove(watch);
  }

  /**
   * Returns the number of pending watches.
   *
   * @return sum over all keys
   */
  public synchronized int pendingWatches() {
    return watches.values().stream().mapToInt(List::size).sum();
  }

  /**
   * Starts an outage: calls are answered with status 503 and the connections of pending watches are
   * closed.
   */
  public void startOutage() {
    faults().set(StandInFaultKind.OUTAGE);
    onFaultsChanged();
  }

  /** Ends an outage. */
  public void endOutage() {
    faults().clear(StandInFaultKind.OUTAGE);
  }

  @Override
  protected void onFaultsChanged() {
    if (!faults().isActive(StandInFaultKind.OUTAGE)) {
      return;
    }
    List<Watch> aborted = new ArrayList<>();
    synchronized (this) {
      watches.values().forEach(aborted::addAll);
      watches.clear();
    }
    for (Watch watch : aborted) {
      watch.timeout.cancel();
      watch.exchange.abort();
    }
  }

  private record Value(long version, byte[] bytes, Value previous) {}

  private static final class Watch {
    private final HttpExchange exchange;
    private final String key;
    private Cancellable timeout;

    Watch(HttpExchange exchange, String key) {
      this.exchange = exchange;
      this.key = key;
    }
  }
}
