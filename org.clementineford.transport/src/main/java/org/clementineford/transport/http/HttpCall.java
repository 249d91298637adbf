package org.clementineford.transport.http;

/** A request in progress that can be cancelled. */
@FunctionalInterface
public interface HttpCall {
  /** Closes the connection of the request; the listener is not called again. */
  void cancel();

  /**
   * Stops or resumes reading the response, so that a slow receiver does not fill the memory of this
   * process. The idle timeout does not apply while reading is stopped.
   *
   * @param reading true to resume reading, false to stop
   */
  default void setReading(boolean reading) {}
}
