package org.clementineford.transport;

import org.clementineford.wire.Payload;

/** Handles exchanges that peers open, on the connection's thread. */
@FunctionalInterface
public interface ExchangeHandler {
  /**
   * Called when a peer opens an exchange.
   *
   * @param opening the first payload
   * @param exchange takes the replies
   */
  void onOpen(Payload opening, IncomingExchange exchange);
}
