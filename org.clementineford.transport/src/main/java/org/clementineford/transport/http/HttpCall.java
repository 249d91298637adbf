package org.clementineford.transport.http;

/** A request in progress. */
@FunctionalInterface
public interface HttpCall {
  /** Closes the connection of the request; the listener is not called again. */
  void cancel();
}
