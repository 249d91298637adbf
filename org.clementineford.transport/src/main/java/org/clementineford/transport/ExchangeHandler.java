package org.clementineford.transport;

import org.clementineford.wire.Payload;

/** Handles exchanges opened by peers. Called on the event loop of the connection. */
@FunctionalInterface
public interface ExchangeHandler {
  /**
   * Called when a peer opens an exchange.
   *
   * @param firstPayload the first payload
   * @param exchange the exchange, used to send the replies
   */
  void onOpen(Payload firstPayload, IncomingExchange exchange);
}
