package org.clementineford.transport.http;

/** Handles requests, on the connection's thread. */
@FunctionalInterface
public interface HttpHandler {
  /**
   * Called for each request; requests of one connection come one after the other.
   *
   * @param exchange the request and its response
   */
  void handle(HttpExchange exchange);
}
