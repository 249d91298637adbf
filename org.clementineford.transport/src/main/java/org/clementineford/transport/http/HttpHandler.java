package org.clementineford.transport.http;

/** Handles requests received by a server. Called on the event loop of the connection. */
@FunctionalInterface
public interface HttpHandler {
  /**
   * Called for each request. The next request of a connection is passed on only after the response
   * to the previous one has ended.
   *
   * @param exchange the request and its response
   */
  void handle(HttpExchange exchange);
}
