package org.clementineford.node;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.clementineford.transport.ExchangeHandler;
import org.clementineford.transport.IncomingExchange;
import org.clementineford.transport.Payloads;
import org.clementineford.wire.Payload;

/** Hands each exchange that a peer opens to the component that registered for its payload. */
public final class PayloadRouter implements ExchangeHandler {
  private final Map<Payload._Fields, ExchangeHandler> handlers = new ConcurrentHashMap<>();

  /**
   * Registers a handler.
   *
   * @param kind kind of the first payload
   * @param handler handles exchanges that open with it
   * @throws IllegalStateException if the kind has a handler already
   */
  public void register(Payload._Fields kind, ExchangeHandler handler) {
    if (handlers.putIfAbsent(kind, handler) != null) {
      throw new IllegalStateException("payload " + kind + " has two handlers");
    }
  }

  @Override
  public void onOpen(Payload opening, IncomingExchange exchange) {
    ExchangeHandler handler = handlers.get(opening.getSetField());
    if (handler == null) {
      exchange.finish(
          Payloads.failure(
              "unsupported-payload",
              "this process does not handle " + opening.getSetField() + "; check the address"));
      return;
    }
    handler.onOpen(opening, exchange);
  }
}
