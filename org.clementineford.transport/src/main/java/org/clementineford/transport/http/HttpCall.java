package org.clementineford.transport.http;

/** A request in progress. */
@FunctionalInterface
public interface HttpCall {
  /** Closes the connection of the request; the listener is not called again. */
  void cancel();

  /**
   * Stops or resumes reading the response, so that a slow receiver does not fill this process's
   * memory. The idle timeout does not run while reading is stopped.
   *
   * @param reading false to stop
   */
  default void setReading(boolean reading) {}
}
