package org.clementineford.bench.requests;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;
import org.agrona.concurrent.NanoClock;
import org.agrona.concurrent.SystemNanoClock;

/**
 * Starts calls at set times, whether or not earlier ones have ended. Latency counts from the set
 * time, so that a stall of the system or of the generator itself counts for every call it delayed.
 */
final class OpenLoop {
  private final NanoClock clock = SystemNanoClock.INSTANCE;
  private final double ratePerSecond;

  OpenLoop(double ratePerSecond) {
    this.ratePerSecond = ratePerSecond;
  }

  /** Starts calls for a time; each gets its set time in nanoseconds. Returns their number. */
  long run(double seconds, LongConsumer call) {
    long start = clock.nanoTime();
    long calls = (long) (seconds * ratePerSecond);
    double spacing = TimeUnit.SECONDS.toNanos(1) / ratePerSecond;
    for (long i = 0; i < calls; i++) {
      long due = start + (long) (i * spacing);
      long wait = due - clock.nanoTime();
      while (wait > 0) {
        LockSupport.parkNanos(wait);
        wait = due - clock.nanoTime();
      }
      call.accept(due);
    }
    return calls;
  }
}
