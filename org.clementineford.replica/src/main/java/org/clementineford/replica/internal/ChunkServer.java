package org.clementineford.replica.internal;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.Scheduler;
import org.clementineford.transport.http.HttpExchange;

/**
 * Serves verified chunks to peers, one at a time and below the bandwidth of the VM's link. The
 * engine's responses use the same link, and an event of a stream must not wait behind several
 * chunks.
 */
final class ChunkServer {
  private static final String PATH_PREFIX = "/chunks/";

  /** Share of the link's bandwidth for chunks; the engine's responses need a small share. */
  private static final double LINK_SHARE = 0.95;

  /** Maximum number of queued requests; further requests get status 503. */
  private static final int MAX_WAITING = 6;

  private final ChunkSource source;
  private final Scheduler scheduler;
  private final NanoClock clock;
  private final double nanosPerByte;
  private final ArrayDeque<Upload> waiting = new ArrayDeque<>();
  private long linkFreeAt;
  private boolean timerSet;
  private boolean stopping;

  ChunkServer(ChunkSource source, Scheduler scheduler, NanoClock clock, long linkBytesPerSecond) {
    this.source = source;
    this.scheduler = scheduler;
    this.clock = clock;
    this.nanosPerByte = TimeUnit.SECONDS.toNanos(1) / (LINK_SHARE * linkBytesPerSecond);
    this.linkFreeAt = clock.nanoTime();
  }

  static String path(String model, long version, int chunk) {
    return PATH_PREFIX + model + "/" + version + "/" + chunk;
  }

  void answer(HttpExchange exchange) {
    byte[] bytes = find(exchange.request().path());
    if (bytes == null) {
      exchange.respond(404, Map.of(), new byte[0]);
    } else if (stopping || waiting.size() >= MAX_WAITING) {
      exchange.respond(503, Map.of(), new byte[0]);
    } else {
      waiting.add(new Upload(exchange, bytes));
      send();
    }
  }

  /** Refuses further requests with status 503; those that wait are answered. */
  void stop() {
    stopping = true;
  }

  /** Returns the number of requests that wait for an answer. */
  int waitingRequests() {
    return waiting.size();
  }

  /** Returns whether all requests were answered and the link had the time to send the answers. */
  boolean isIdle() {
    return waiting.isEmpty() && linkFreeAt - clock.nanoTime() <= 0;
  }

  private void send() {
    long now = clock.nanoTime();
    if (waiting.isEmpty() || timerSet) {
      return;
    }
    if (linkFreeAt - now > 0) {
      timerSet = true;
      scheduler.schedule(this::onLinkFree, linkFreeAt - now, TimeUnit.NANOSECONDS);
      return;
    }
    Upload upload = waiting.poll();
    linkFreeAt = now + (long) (upload.bytes.length * nanosPerByte);
    upload.exchange.respond(200, Map.of(), upload.bytes);
    send();
  }

  private void onLinkFree() {
    timerSet = false;
    send();
  }

  private byte[] find(String path) {
    if (!path.startsWith(PATH_PREFIX)) {
      return null;
    }
    String[] parts = path.substring(PATH_PREFIX.length()).split("/");
    if (parts.length != 3) {
      return null;
    }
    try {
      return source.chunk(parts[0], Long.parseLong(parts[1]), Integer.parseInt(parts[2]));
    } catch (NumberFormatException e) {
      return null;
    }
  }

  /** Lookup of verified chunks. */
  @FunctionalInterface
  interface ChunkSource {
    /** Returns a chunk, or null if it is not held. */
    byte[] chunk(String model, long version, int number);
  }

  private record Upload(HttpExchange exchange, byte[] bytes) {}
}
