package org.clementineford.kernel;

import java.util.concurrent.TimeUnit;

/** Runs tasks later, on the same time as the injected clocks. */
public interface Scheduler {
  /**
   * Runs a task once.
   *
   * @param task the task
   * @param delay time to wait from now
   * @param unit unit of the delay
   * @return a handle that cancels the task
   */
  Cancellable schedule(Runnable task, long delay, TimeUnit unit);

  /**
   * Runs a task again and again, with the given time between the end of one run and the next.
   *
   * @param task the task
   * @param interval time between runs
   * @param unit unit of the interval
   * @return a handle that cancels further runs
   */
  Cancellable scheduleEvery(Runnable task, long interval, TimeUnit unit);

  /** Handle of a scheduled task. */
  @FunctionalInterface
  interface Cancellable {
    /** Prevents further runs; a run in progress ends normally. */
    void cancel();
  }
}
