package org.clementineford.endpoint.internal.weights;

import java.util.Map;
import org.clementineford.kernel.MessageCatalog;
import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.transport.IncomingExchange;
import org.clementineford.weights.FencingGuard;
import org.clementineford.weights.OrderNumber;
import org.clementineford.wire.ActivateOrder;
import org.clementineford.wire.OrderReply;
import org.clementineford.wire.OriginPermit;
import org.clementineford.wire.Payload;

/**
 * Carries out orders of the rollout controller. Refuses orders that are older than one already
 * accepted, for example from an earlier lease holder.
 */
final class OrderHandler {
  private static final MessageCatalog MESSAGES = MessageCatalog.of(OrderHandler.class);

  private final FencingGuard guard;
  private final Map<String, ModelRollout> rollouts;
  private final Timeline timeline;

  OrderHandler(FencingGuard guard, Map<String, ModelRollout> rollouts, Timeline timeline) {
    this.guard = guard;
    this.rollouts = rollouts;
    this.timeline = timeline;
  }

  void activate(Payload opening, IncomingExchange exchange) {
    ActivateOrder order = opening.getActivateOrder();
    OrderNumber number = new OrderNumber(order.getDocumentRevision(), order.getFencingNumber());
    if (!guard.accept(number)) {
      refuse(exchange, order, MESSAGES.format("order-overtaken"));
      return;
    }
    ModelRollout rollout = rollouts.get(order.getModel());
    if (rollout == null) {
      refuse(exchange, order, MESSAGES.format("no-engine", order.getModel()));
      return;
    }
    record(EventKind.ORDER_ACCEPTED, order, "");
    rollout
        .activate(order.getVersion(), order.getManifestDigest(), number)
        .whenComplete(
            (done, failure) -> {
              if (failure == null) {
                exchange.finish(reply(true, "serving"));
              } else {
                exchange.finish(reply(false, ModelRollout.reason(failure)));
              }
            });
  }

  void permit(Payload opening, IncomingExchange exchange) {
    OriginPermit permit = opening.getOriginPermit();
    OrderNumber number = new OrderNumber(permit.getDocumentRevision(), permit.getFencingNumber());
    if (!guard.accept(number)) {
      exchange.finish(reply(false, MESSAGES.format("order-overtaken")));
      return;
    }
    boolean known = false;
    for (ModelRollout rollout : rollouts.values()) {
      known |= rollout.permitOriginReads(permit.getManifestDigest(), permit.getChunks());
    }
    exchange.finish(reply(known, known ? "reading" : MESSAGES.format("other-manifest")));
  }

  private void refuse(IncomingExchange exchange, ActivateOrder order, String reason) {
    record(EventKind.ORDER_REFUSED, order, reason);
    exchange.finish(reply(false, reason));
  }

  private void record(EventKind kind, ActivateOrder order, String reason) {
    timeline.record(
        kind,
        "model",
        order.getModel(),
        "version",
        order.getVersion(),
        "revision",
        String.valueOf(order.getDocumentRevision()),
        "fencing",
        String.valueOf(order.getFencingNumber()),
        "holder",
        String.valueOf(order.getHolder()),
        "reason",
        reason);
  }

  private Payload reply(boolean accepted, String reason) {
    OrderNumber highest = guard.highest();
    return Payload.orderReply(
        new OrderReply(accepted, highest.leaseNumber(), highest.documentRevision(), reason));
  }
}
