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
import java.util.concurrent.atomic.AtomicInteger;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.platform.standin.PlatformFiles;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;

/**
 * Callers with kept connections and the platform's choice of entry VMs. They use a connection until
 * its entry VM closes it, and send each request once. Most send short requests at a fixed rate;
 * some send long streams one after the other.
 */
final class Callers implements AutoCloseable {
  /** Keys that callers use; the last is removed during the soak. */
  static final List<String> KEYS = List.of("key-a", "key-b", "key-c");

  /** Keys that are not removed. */
  static final List<String> KEPT_KEYS = KEYS.subList(0, KEYS.size() - 1);

  /** Time after the timeout at which a caller leaves, in milliseconds. */
  static final long LEAVE_MS = 500;

  /** Requests per second, well below what the stand-ins can do. */
  private static final int RATE = 60;

  /** Callers for each entry VM that send long streams on one connection. */
  private static final int LASTING_PER_ENTRY_VM = 4;

  private static final long READY_POLL_MS = 250;
  private static final long END_POLL_MS = 50;
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
  private final List<LastingCaller> lasting = new ArrayList<>();
  private final ScheduledFuture<?> sending;
  private final ScheduledFuture<?> polling;
  private final AtomicInteger number = new AtomicInteger();

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
    // Drawn apart, so that the other requests of a seed stay the same.
    Random seeds = new Random(~seed);
    for (int i = 0; i < LASTING_PER_ENTRY_VM * fleet.entries().size(); i++) {
      Random choices = new Random(seeds.nextLong());
      lasting.add(new LastingCaller(this, fleet.eventLoops().next(), choices, clock));
    }
    lasting.forEach(LastingCaller::start);
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

  /** Returns an entry VM that is ready; any if none is. */
  Program anyReady(Random choices) {
    List<Program> ready =
        fleet.entries().stream()
            .filter(entry -> misses.getOrDefault(entry.vm(), 0) < MISSES)
            .toList();
    List<Program> candidates = ready.isEmpty() ? fleet.entries() : ready;
    return candidates.get(choices.nextInt(candidates.size()));
  }

  String host(Program entry) {
    return fleet.host(entry);
  }

  /** Begins a request that its caller sends now. */
  Call begin(Random choices, CallKind kind, List<String> keys, Program entry, boolean reused) {
    String key = keys.get(choices.nextInt(keys.size()));
    int count = number.incrementAndGet();
    String id = String.format(Locale.ROOT, "%016x", (choices.nextLong() << 20) + count);
    sent.add(id);
    return new Call(id, kind, kind.path() + count, key, entry, reused, clock.nanoTime());
  }

  private void send() {
    Program entry = anyReady(random);
    CallKind kind = CallKind.SHORT.get(random.nextInt(CallKind.SHORT.size()));
    Call call = begin(random, kind, KEYS, entry, false);
    client
        .call(
            new HostPort(fleet.host(entry), PlatformFiles.CALLER_PORT),
            new HttpRequest(
                kind.method(),
                call.target(),
                call.headers(CallKind.SHORT_ANSWER_TOKENS),
                new byte[0]),
            kind.timeoutMs() + LEAVE_MS)
        .whenComplete((response, failure) -> add(record(call, response)));
  }

  private CallerRecord record(Call call, HttpResponse response) {
    long now = clock.nanoTime();
    return response == null
        ? call.end(now, 0, Map.of(), "")
        : call.end(
            now,
            response.status(),
            response.headers(),
            new String(response.body(), StandardCharsets.UTF_8));
  }

  /** Adds a request that has ended. */
  synchronized void add(CallerRecord record) {
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
    lasting.forEach(LastingCaller::stop);
  }

  /** Returns once all requests have ended; callers leave at their timeouts. */
  void awaitEnds() throws InterruptedException {
    while (records().size() < sent()) {
      Thread.sleep(END_POLL_MS);
    }
  }

  @Override
  public void close() {
    stop();
    polling.cancel(false);
    client.close();
  }
}
