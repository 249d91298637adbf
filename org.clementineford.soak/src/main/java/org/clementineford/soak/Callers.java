package org.clementineford.soak;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.platform.standin.PlatformFiles;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;

/**
 * Callers with kept connections and the platform's choice of entry VMs. They use a connection until
 * its entry VM closes it, and send each request once.
 */
final class Callers implements AutoCloseable {
  /** Keys that callers use; the last is removed during the soak. */
  static final List<String> KEYS = List.of("key-a", "key-b", "key-c");

  /** Requests per second, well below what the stand-ins can do. */
  private static final int RATE = 60;

  /** Time that callers wait, in milliseconds. */
  private static final long TIMEOUT_MS = 3_000;

  /** Time after the timeout at which a caller leaves, in milliseconds. */
  private static final long LEAVE_MS = 500;

  private static final long READY_POLL_MS = 250;
  private static final long READY_TIMEOUT_MS = 1_000;

  /** Misses after which an entry VM gets no requests. */
  private static final int MISSES = 2;

  private final SoakFleet fleet;
  private final NanoClock clock;
  private final Random random;
  private final HttpClient client;
  private final Map<String, Integer> misses = new ConcurrentHashMap<>();
  private final List<CallerRecord> records = new ArrayList<>();
  private final Set<String> sent = ConcurrentHashMap.newKeySet();
  private final ScheduledFuture<?> sending;
  private final ScheduledFuture<?> polling;
  private int number;

  Callers(SoakFleet fleet, long seed, NanoClock clock) {
    this.fleet = fleet;
    this.clock = clock;
    this.random = new Random(seed);
    this.client = new HttpClient(fleet.eventLoops(), LinkShaping.NONE);
    this.polling =
        fleet
            .eventLoops()
            .scheduleAtFixedRate(this::pollReady, 0, READY_POLL_MS, TimeUnit.MILLISECONDS);
    long periodMicros = TimeUnit.SECONDS.toMicros(1) / RATE;
    this.sending =
        fleet
            .eventLoops()
            .scheduleAtFixedRate(
                this::send, READY_POLL_MS * 1_000, periodMicros, TimeUnit.MICROSECONDS);
  }

  private void pollReady() {
    for (Program entry : fleet.entries()) {
      client
          .call(
              new HostPort(fleet.host(entry), PlatformFiles.READY_PORT),
              new HttpRequest("GET", "/-/ready", Map.of(), new byte[0]),
              READY_TIMEOUT_MS)
          .handle((response, failure) -> failure == null && response.status() == 200)
          .thenAccept(ready -> misses.merge(entry.vm(), 1, (old, one) -> ready ? 0 : old + one));
    }
  }

  private void send() {
    List<Program> ready =
        fleet.entries().stream()
            .filter(entry -> misses.getOrDefault(entry.vm(), 0) < MISSES)
            .toList();
    List<Program> candidates = ready.isEmpty() ? fleet.entries() : ready;
    Program entry = candidates.get(random.nextInt(candidates.size()));
    CallKind kind = CallKind.values()[random.nextInt(CallKind.values().length)];
    String key = KEYS.get(random.nextInt(KEYS.size()));
    String id = String.format(Locale.ROOT, "%016x", (random.nextLong() << 20) + number++);
    String target = kind.path() + number;
    sent.add(id);
    long startedAt = clock.nanoTime();
    client
        .call(
            new HostPort(fleet.host(entry), PlatformFiles.CALLER_PORT),
            new HttpRequest(
                kind.method(),
                target,
                PlatformFiles.requestHeaders(id, SoakFleet.HOST, key, TIMEOUT_MS),
                new byte[0]),
            TIMEOUT_MS + LEAVE_MS)
        .whenComplete(
            (response, failure) ->
                add(record(id, kind, target, key, entry.vm(), startedAt, response)));
  }

  private CallerRecord record(
      String id,
      CallKind kind,
      String target,
      String key,
      String entry,
      long startedAt,
      HttpResponse response) {
    return new CallerRecord(
        id,
        kind,
        target,
        key,
        entry,
        startedAt,
        clock.nanoTime(),
        response == null ? 0 : response.status(),
        response == null ? Map.of() : response.headers(),
        response == null ? "" : new String(response.body(), StandardCharsets.UTF_8));
  }

  private synchronized void add(CallerRecord record) {
    records.add(record);
  }

  /** Returns the requests that have ended. */
  synchronized List<CallerRecord> records() {
    return List.copyOf(records);
  }

  /** Tells whether a request with this identity was sent. */
  boolean hasSent(String id) {
    return sent.contains(id);
  }

  /** Returns the number of requests that were sent. */
  int sent() {
    return sent.size();
  }

  /** Sends no further requests. */
  void stop() {
    sending.cancel(false);
  }

  @Override
  public void close() {
    stop();
    polling.cancel(false);
    client.close();
  }
}
