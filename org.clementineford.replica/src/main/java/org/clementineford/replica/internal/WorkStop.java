package org.clementineford.replica.internal;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stop of the work of an endpoint VM: begins nothing new and waits, for a bounded time, for uploads
 * to peers, and for an order to the engine and its effect, since entry VMs avoid the engine until
 * it is reported. Not thread-safe.
 */
final class WorkStop {
  private static final Logger LOG = LoggerFactory.getLogger(WorkStop.class);

  /** Interval at which the end of the work is checked, in milliseconds. */
  private static final long CHECK_INTERVAL_MS = 20;

  private final WeightRollout rollout;
  private final ChunkServer chunkServer;
  private final Scheduler scheduler;
  private final NanoClock clock;
  private final long limitNanos;
  private final CompletableFuture<Void> ended = new CompletableFuture<>();
  private long startedAt;

  /**
   * Creates a stop that has not begun.
   *
   * @param rollout rollout that sends orders to the engine
   * @param chunkServer server of chunks to peers
   * @param scheduler scheduler on the thread of both
   * @param clock monotonic clock
   * @param limitMs longest time to wait, in milliseconds; 0 or less to wait for nothing
   */
  WorkStop(
      WeightRollout rollout,
      ChunkServer chunkServer,
      Scheduler scheduler,
      NanoClock clock,
      long limitMs) {
    this.rollout = rollout;
    this.chunkServer = chunkServer;
    this.scheduler = scheduler;
    this.clock = clock;
    this.limitNanos = TimeUnit.MILLISECONDS.toNanos(limitMs);
  }

  /**
   * Begins the stop.
   *
   * @return future that completes when the work has ended or the time is over
   */
  CompletableFuture<Void> begin() {
    startedAt = clock.nanoTime();
    LOG.atInfo()
        .addKeyValue("uploads", chunkServer.waitingRequests())
        .addKeyValue("ordering", rollout.isOrdering())
        .addKeyValue("changing", rollout.isChanging())
        .log("endpoint VM stopping");
    rollout.stop();
    chunkServer.stop();
    check();
    return ended;
  }

  private void check() {
    boolean idle = chunkServer.isIdle() && !rollout.isOrdering() && !rollout.isChanging();
    long elapsedNanos = clock.nanoTime() - startedAt;
    if (!idle && elapsedNanos < limitNanos) {
      scheduler.schedule(this::check, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
      return;
    }
    LOG.atInfo()
        .addKeyValue("ms", TimeUnit.NANOSECONDS.toMillis(elapsedNanos))
        .addKeyValue("uploads", chunkServer.waitingRequests())
        .addKeyValue("ordering", rollout.isOrdering())
        .addKeyValue("changing", rollout.isChanging())
        .log("endpoint VM stopped");
    ended.complete(null);
  }
}
