package org.clementineford.replica.internal;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lets the engine of this VM end its requests while the last chunks of a version arrive, once for
 * each version. Used by one thread.
 */
final class EngineDrain {
  private static final Logger LOG = LoggerFactory.getLogger(EngineDrain.class);

  /** Engines of a service below which none leaves before it can load. */
  private static final int FEWEST_ENGINES = 4;

  /** Longest time without requests while a transfer does not end, in milliseconds. */
  private static final long LONGEST_MS = 2_500;

  private final ActivationSchedule schedule;
  private boolean active;
  private long version;
  private long since;

  EngineDrain(ActivationSchedule schedule) {
    this.schedule = schedule;
  }

  /** Tells whether the engine ends its requests. */
  boolean isActive() {
    return active;
  }

  /** Ends the drain, since the engine loads or the version no longer matters. */
  void end() {
    active = false;
  }

  /** Tells whether a transfer is so near its end that the engine may drain in its turn. */
  boolean mayBegin(ChunkTransfer transfer, int engines) {
    return transfer.digests().version() != version
        && engines >= FEWEST_ENGINES
        && schedule.endsSoon(transfer.progress(), transfer.elapsedNanos());
  }

  void begin(ChunkTransfer transfer, long now) {
    active = true;
    version = transfer.digests().version();
    since = now;
    LOG.atInfo()
        .addKeyValue("version", version)
        .addKeyValue("progress", transfer.progress())
        .log("engine ends its requests");
  }

  /** Ends the drain if the transfer takes too long; returns true if the engine serves on. */
  boolean endIfStalled(long now) {
    if (now - since <= TimeUnit.MILLISECONDS.toNanos(LONGEST_MS)) {
      return false;
    }
    LOG.atInfo().addKeyValue("version", version).log("transfer stalls, engine serves on");
    active = false;
    return true;
  }
}
