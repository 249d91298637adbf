package org.clementineford.testing;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.Scheduler;

/**
 * Virtual clocks and a scheduler whose time changes only when a test calls {@link #advance}. Due
 * tasks run on the calling thread in the order of their due times.
 */
public final class VirtualTime implements NanoClock, Scheduler {
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(
          Comparator.comparingLong((Task task) -> task.dueNanos)
              .thenComparingLong(task -> task.order));
  private final long epochOffsetMs;
  private long nowNanos;
  private long nextOrder;

  /**
   * Creates a virtual time whose monotonic clock starts at 0.
   *
   * @param epochOffsetMs wall-clock time at the start, in milliseconds since the epoch
   */
  public VirtualTime(long epochOffsetMs) {
    this.epochOffsetMs = epochOffsetMs;
  }

  @Override
  public synchronized long nanoTime() {
    return nowNanos;
  }

  /**
   * Returns a wall clock that advances with this virtual time.
   *
   * @return the clock, in milliseconds since the epoch
   */
  public EpochClock epochClock() {
    return () -> epochOffsetMs + TimeUnit.NANOSECONDS.toMillis(nanoTime());
  }

  @Override
  public synchronized Cancellable schedule(Runnable command, long delay, TimeUnit unit) {
    Task task = new Task(command, nowNanos + unit.toNanos(delay), nextOrder++);
    tasks.add(task);
    return () -> cancel(task);
  }

  @Override
  public Cancellable scheduleWithFixedDelay(Runnable command, long interval, TimeUnit unit) {
    Repeating repeating = new Repeating(command, interval, unit);
    repeating.scheduleNext();
    return repeating;
  }

  /**
   * Returns the number of scheduled tasks that have not run yet.
   *
   * @return 0 or more
   */
  public synchronized int scheduledTasks() {
    return tasks.size();
  }

  /**
   * Advances the time and runs each task that becomes due, with the clock set to its due time.
   *
   * @param duration time to advance by
   * @param unit unit of the duration
   */
  public void advance(long duration, TimeUnit unit) {
    long target = nanoTime() + unit.toNanos(duration);
    Task due = takeDue(target);
    while (due != null) {
      due.command.run();
      due = takeDue(target);
    }
    synchronized (this) {
      nowNanos = target;
    }
  }

  private synchronized Task takeDue(long targetNanos) {
    Task first = tasks.peek();
    if (first == null || first.dueNanos > targetNanos) {
      return null;
    }
    tasks.poll();
    nowNanos = Math.max(nowNanos, first.dueNanos);
    return first;
  }

  private synchronized void cancel(Task task) {
    tasks.remove(task);
  }

  private record Task(Runnable command, long dueNanos, long order) {}

  private final class Repeating implements Cancellable {
    private final Runnable command;
    private final long interval;
    private final TimeUnit unit;
    private Cancellable next;
    private boolean cancelled;

    Repeating(Runnable command, long interval, TimeUnit unit) {
      this.command = command;
      this.interval = interval;
      this.unit = unit;
    }

    synchronized void scheduleNext() {
      if (!cancelled) {
        next = schedule(this::runOnce, interval, unit);
      }
    }

    private void runOnce() {
      command.run();
      scheduleNext();
    }

    @Override
    public synchronized void cancel() {
      cancelled = true;
      next.cancel();
    }
  }
}
