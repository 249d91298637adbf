package org.clementineford.kernel;

import java.util.concurrent.TimeUnit;

/** Runs tasks after a delay, measured on the same time source as the injected clocks. */
public interface Scheduler {
  /**
   * Runs a task once.
   *
   * @param task the task
   * @param delay time from now until the run
   * @param unit unit of the delay
   * @return a handle that cancels the task
   */
  Cancellable schedule(Runnable task, long delay, TimeUnit unit);

  /**
   * Runs a task repeatedly, with a fixed delay from the end of one run to the start of the next.
   *
   * @param task the task
   * @param interval delay between two runs
   * @param unit unit of the interval
   * @return a handle that cancels further runs
   */
  Cancellable scheduleWithFixedDelay(Runnable task, long interval, TimeUnit unit);

  /** Handle of a scheduled task. */
  @FunctionalInterface
  interface Cancellable {
    /** Prevents further runs; a run in progress completes normally. */
    void cancel();
  }
}
