package org.clementineford.soak;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;

/**
 * Records when the event loops of the soak's own process were late. Its stand-ins and callers run
 * on them, so that a broken promise at such a time may come from a machine that is too busy. It
 * excuses no broken promise.
 */
final class StandInLateness {
  private static final long INTERVAL_MS = 50;

  /** Lateness from which a line is recorded, as in the logs of entry VMs. */
  private static final long RECORDED_MS = 250;

  private final NanoClock clock;
  private final EpochClock wallClock;
  private final List<String> lines = new CopyOnWriteArrayList<>();

  StandInLateness(NanoClock clock, EpochClock wallClock) {
    this.clock = clock;
    this.wallClock = wallClock;
  }

  /** Records until the event loops end. */
  void record(EventLoopGroup eventLoops) {
    int number = 0;
    for (EventExecutor eventLoop : eventLoops) {
      number++;
      schedule(eventLoop, number);
    }
  }

  private void schedule(EventExecutor eventLoop, int number) {
    long dueAt = clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(INTERVAL_MS);
    eventLoop.schedule(
        () -> {
          long lateMs = TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - dueAt);
          if (lateMs >= RECORDED_MS) {
            lines.add(
                "%s  event loop %d was late by %d ms"
                    .formatted(Instant.ofEpochMilli(wallClock.time()), number, lateMs));
          }
          schedule(eventLoop, number);
        },
        INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  /** Returns a line for each time, oldest first. */
  List<String> describe() {
    return List.copyOf(lines);
  }
}
