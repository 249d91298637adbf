package org.clementineford.launcher;

import org.clementineford.kernel.errors.ClementinefordException;

/**
 * Order of the start and the stop of a process. A stop that arrives during the start waits until
 * the start is through, and then stops what was started; after a stop nothing is started.
 * Thread-safe.
 */
final class ProcessLifecycle {
  private Runnable stop = () -> {};
  private boolean stopped;

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
  synchronized void stop() {
    if (!stopped) {
      stopped = true;
      stop.run();
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
    Runnable run() throws ClementinefordException;
  }
}
