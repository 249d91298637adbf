package org.clementineford.node;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.clementineford.transport.ExchangeHandler;
import org.clementineford.transport.IncomingExchange;
import org.clementineford.transport.Payloads;
import org.clementineford.wire.Payload;

/** Dispatches each exchange opened by a peer to the handler of its first payload's kind. */
public final class PayloadRouter implements ExchangeHandler {
  private final Map<Payload._Fields, ExchangeHandler> handlers = new ConcurrentHashMap<>();

  /**
   * Registers a handler.
   *
   * @param kind kind of the first payload
   * @param handler handler of the exchanges that open with this kind
   * @throws IllegalStateException if a handler is already registered for the kind
   */
  public void register(Payload._Fields kind, ExchangeHandler handler) {
    if (handlers.putIfAbsent(kind, handler) != null) {
      throw new IllegalStateException("payload " + kind + " already has a handler");
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
