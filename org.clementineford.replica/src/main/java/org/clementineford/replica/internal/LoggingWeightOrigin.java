package org.clementineford.replica.internal;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.replica.WeightDigests;
import org.clementineford.replica.WeightOrigin;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decorator of a weight origin that logs when the origin becomes unreachable and when it is
 * reachable again. Not thread-safe.
 */
final class LoggingWeightOrigin implements WeightOrigin {
  private static final Logger LOG = LoggerFactory.getLogger(LoggingWeightOrigin.class);

  private final WeightOrigin origin;
  private final NanoClock clock;
  private boolean lost;
  private long lostAt;
  private int failures;

  LoggingWeightOrigin(WeightOrigin origin, NanoClock clock) {
    this.origin = origin;
    this.clock = clock;
  }

  @Override
  public CompletableFuture<WeightDigests> digests(
      HostPort address, String model, OptionalLong version) {
    CompletableFuture<WeightDigests> read = origin.digests(address, model, version);
    read.whenComplete((digests, failure) -> logOutcome(failure, read.isCancelled()));
    return read;
  }

  @Override
  public CompletableFuture<byte[]> chunk(HostPort address, String model, long version, int chunk) {
    CompletableFuture<byte[]> read = origin.chunk(address, model, version, chunk);
    read.whenComplete((bytes, failure) -> logOutcome(failure, read.isCancelled()));
    return read;
  }

  private void logOutcome(Throwable failure, boolean cancelled) {
    if (cancelled) {
      return;
    }
    if (failure == null) {
      if (lost) {
        lost = false;
        LOG.atInfo()
            .addKeyValue("lostMs", TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - lostAt))
            .addKeyValue("failures", failures)
            .log("weight origin reachable again");
      }
      return;
    }
    failures = lost ? failures + 1 : 1;
    if (!lost) {
      lost = true;
      lostAt = clock.nanoTime();
      LOG.atWarn()
          .addKeyValue("reason", failure.getMessage())
          .log("cannot reach the weight origin; retrying");
    }
  }
}
