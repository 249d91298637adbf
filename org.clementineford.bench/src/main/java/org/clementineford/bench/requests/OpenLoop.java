package org.clementineford.bench.requests;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;
import org.agrona.concurrent.NanoClock;
import org.agrona.concurrent.SystemNanoClock;

/**
 * Open-loop load generator: starts calls at scheduled times, whether or not earlier ones have
 * ended. Latency is measured from the scheduled time, so that a stall of the system or of the
 * generator itself adds to the latency of every call that it delayed.
 */
final class OpenLoop {
  private final NanoClock clock = SystemNanoClock.INSTANCE;
  private final double ratePerSecond;

  OpenLoop(double ratePerSecond) {
    this.ratePerSecond = ratePerSecond;
  }

  /**
   * Starts calls for a time, passing each its scheduled time in nanoseconds; returns their number.
   */
  long run(double seconds, LongConsumer call) {
    long start = clock.nanoTime();
    long calls = (long) (seconds * ratePerSecond);
    double spacing = TimeUnit.SECONDS.toNanos(1) / ratePerSecond;
    for (long i = 0; i < calls; i++) {
      long scheduledNanos = start + (long) (i * spacing);
      long wait = scheduledNanos - clock.nanoTime();
      while (wait > 0) {
        LockSupport.parkNanos(wait);
        wait = scheduledNanos - clock.nanoTime();
      }
      call.accept(scheduledNanos);
    }
    return calls;
  }
}
