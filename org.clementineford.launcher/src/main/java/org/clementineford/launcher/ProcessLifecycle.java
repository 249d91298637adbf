package org.clementineford.launcher;

import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.errors.ClementinefordException;

/**
 * Order of the start and the stop of a process. A stop that arrives during the start waits until
 * the start is through, and then stops what was started; after a stop nothing is started. The time
 * of a stop counts from its arrival, since that is when the platform begins to count. Thread-safe.
 */
final class ProcessLifecycle {
  private final NanoClock clock;
  private Stop stop = requestedAt -> {};
  private boolean stopped;

  /**
   * Creates a lifecycle in which nothing is started.
   *
   * @param clock monotonic clock
   */
  ProcessLifecycle(NanoClock clock) {
    this.clock = clock;
  }

  /**
   * Runs the start, unless a stop arrived before it.
   *
   * @param start starts the process
   * @return whether the start ran
   * @throws ClementinefordException if the start failed; a stop then does nothing
   */
  synchronized boolean start(Start start) throws ClementinefordException {
    if (stopped) {
      return false;
    }
    stop = start.run();
    return true;
  }

  /** Stops what was started. Further calls return after the first one and do nothing. */
  void stop() {
    stop(clock.nanoTime());
  }

  private synchronized void stop(long requestedAt) {
    if (!stopped) {
      stopped = true;
      stop.run(requestedAt);
    }
  }

  /** Start of a process. */
  @FunctionalInterface
  interface Start {
    /**
     * Starts the process.
     *
     * @return stops the process; returns when the process may end
     * @throws ClementinefordException if the process cannot start
     */
    Stop run() throws ClementinefordException;
  }

  /** Stop of a process. */
  @FunctionalInterface
  interface Stop {
    /**
     * Stops the process. Returns when the process may end.
     *
     * @param requestedAt time at which the stop was requested, in monotonic nanoseconds
     */
    void run(long requestedAt);
  }
}
