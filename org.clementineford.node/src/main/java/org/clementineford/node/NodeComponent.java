package org.clementineford.node;

import java.util.concurrent.CompletableFuture;
import org.clementineford.kernel.errors.ClementinefordException;

/** A component of a process, started and stopped with the process. */
public interface NodeComponent {
  /**
   * Starts the component.
   *
   * @throws ClementinefordException if a resource cannot be used
   */
  void start() throws ClementinefordException;

  /**
   * Stops accepting new work, and work that may not end in time.
   *
   * @param endNanos monotonic time at which the work in flight is aborted, in nanoseconds
   * @return a future that completes when the work in flight has ended
   */
  CompletableFuture<Void> drain(long endNanos);

  /** Releases resources. Called after {@link #drain} has completed or timed out. */
  void close();
}
