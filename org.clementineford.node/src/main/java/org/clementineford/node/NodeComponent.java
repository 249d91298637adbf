package org.clementineford.node;

import java.util.concurrent.CompletableFuture;
import org.clementineford.kernel.errors.ClementinefordException;

/** A part of a process that starts and stops with it. */
public interface NodeComponent {
  /**
   * Starts to work.
   *
   * @throws ClementinefordException if a resource cannot be used
   */
  void start() throws ClementinefordException;

  /**
   * Takes no new work from now on.
   *
   * @return completes when the work in flight has ended
   */
  CompletableFuture<Void> drain();

  /** Frees resources. Called after {@link #drain} completed or its time ran out. */
  void close();
}
