package org.clementineford.bench.distribution;

import java.util.concurrent.TimeUnit;

/** A link of fixed bandwidth that sends one message after the other. */
final class Link {
  private static final double NANOS = TimeUnit.SECONDS.toNanos(1);

  private final double bytesPerSecond;
  private double freeNanos;
  private long bytes;

  Link(double bytesPerSecond) {
    this.bytesPerSecond = bytesPerSecond;
  }

  /** Returns when a message that arrives at the given time has left the link. */
  synchronized long send(long arrivalNanos, int length) {
    freeNanos = Math.max(freeNanos, arrivalNanos) + length / bytesPerSecond * NANOS;
    bytes += length;
    return (long) freeNanos;
  }

  synchronized long bytes() {
    return bytes;
  }
}
