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
   * Stops accepting new work.
   *
   * @return a future that completes when the work in flight has ended
   */
  CompletableFuture<Void> drain();

  /** Releases resources. Called after {@link #drain} has completed or timed out. */
  void close();
}
