package org.clementineford.replica.internal;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Drain of the engine on this VM: the engine takes no new requests and finishes the running ones
 * while the last chunks of a version arrive. Happens at most once for each version. Not
 * thread-safe.
 */
final class EngineDrain {
  private static final Logger LOG = LoggerFactory.getLogger(EngineDrain.class);

  /** Minimum number of engines of a service for draining before the transfer is complete. */
  private static final int MIN_ENGINES = 4;

  /** Longest drain during which the transfer does not complete, in milliseconds. */
  private static final long MAX_DRAIN_MS = 2_500;

  private final ActivationSchedule schedule;
  private boolean active;
  private long version;
  private long since;

  EngineDrain(ActivationSchedule schedule) {
    this.schedule = schedule;
  }

  /** Returns whether the engine is draining. */
  boolean isActive() {
    return active;
  }

  /** Ends the drain because the engine loads the version or the version is no longer needed. */
  void end() {
    active = false;
  }

  /** Returns whether a transfer is close enough to its end for the engine to drain in its turn. */
  boolean mayBegin(ChunkTransfer transfer, int engines) {
    return transfer.digests().version() != version
        && engines >= MIN_ENGINES
        && schedule.endsSoon(transfer.progress(), transfer.elapsedNanos());
  }

  void begin(ChunkTransfer transfer, long now) {
    active = true;
    version = transfer.digests().version();
    since = now;
    LOG.atInfo()
        .addKeyValue("version", version)
        .addKeyValue("progress", transfer.progress())
        .log("draining engine while the last chunks arrive");
  }

  /** Ends the drain if the transfer takes too long, and returns whether it did so. */
  boolean endIfStalled(long now) {
    if (now - since <= TimeUnit.MILLISECONDS.toNanos(MAX_DRAIN_MS)) {
      return false;
    }
    LOG.atInfo()
        .addKeyValue("version", version)
        .log("transfer stalled; drain ended, engine takes requests again");
    active = false;
    return true;
  }
}
