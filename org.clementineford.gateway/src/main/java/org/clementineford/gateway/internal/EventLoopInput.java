package org.clementineford.gateway.internal;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.Scheduler;

/**
 * Runs actions after the event loop has read what the sockets hold.
 *
 * <p>The event loop polls its sockets, processes what they hold, and then runs all tasks and timers
 * that are due. A decision that it takes meanwhile rests on the state of the connections at that
 * poll, which is old if processing takes long or if the VM was suspended.
 */
final class EventLoopInput {
  /**
   * Longest time from {@link #runAfterPoll(Runnable)} to the run of its action for the poll between
   * them to count as recent. Half of the time after which a caller's close must work.
   */
  private static final long MAX_POLL_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Limit of polls for one action, so that an event loop that is always late makes progress. */
  private static final int MAX_POLLS = 3;

  private final EventLoopGroup eventLoops;
  private final Scheduler scheduler;
  private final NanoClock clock;

  EventLoopInput(EventLoopGroup eventLoops, Scheduler scheduler, NanoClock clock) {
    this.eventLoops = eventLoops;
    this.scheduler = scheduler;
    this.clock = clock;
  }

  /** Runs an action after the next poll of the sockets, and after a further one if that is old. */
  void runAfterPoll(Runnable action) {
    runAfterPoll(action, MAX_POLLS);
  }

  private void runAfterPoll(Runnable action, int polls) {
    long requestedAt = clock.nanoTime();
    Runnable afterPoll =
        () -> {
          if (polls > 1 && clock.nanoTime() - requestedAt > MAX_POLL_AGE_NANOS) {
            runAfterPoll(action, polls - 1);
          } else {
            action.run();
          }
        };
    // After a poll, the event loop processes input, then collects the timers that are due, then
    // runs
    // tasks. A timer that a task sets is therefore collected only after the next poll.
    eventLoops.execute(() -> eventLoops.schedule(afterPoll, 0, TimeUnit.NANOSECONDS));
  }

  /**
   * Runs an action after a delay and a poll, so that input which arrived in time can cancel it.
   *
   * @return a handle that cancels the action until it runs
   */
  Scheduler.Cancellable schedule(Runnable action, long delay, TimeUnit unit) {
    Timeout timeout = new Timeout(action);
    timeout.timer = scheduler.schedule(() -> runAfterPoll(timeout), delay, unit);
    return timeout;
  }

  private static final class Timeout implements Runnable, Scheduler.Cancellable {
    private final Runnable action;
    private Scheduler.Cancellable timer;
    private boolean cancelled;

    Timeout(Runnable action) {
      this.action = action;
    }

    @Override
    public void run() {
      if (!cancelled) {
        action.run();
      }
    }

    @Override
    public void cancel() {
      cancelled = true;
      timer.cancel();
    }
  }
}
