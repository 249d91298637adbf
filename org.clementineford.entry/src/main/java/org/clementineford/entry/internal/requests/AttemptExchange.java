package org.clementineford.entry.internal.requests;

import io.prometheus.metrics.core.metrics.Counter;
import org.clementineford.requests.attempts.AnswerCheck;
import org.clementineford.transport.Exchange;
import org.clementineford.transport.ExchangeFailure;
import org.clementineford.transport.ExchangeListener;
import org.clementineford.wire.AnswerEnd;
import org.clementineford.wire.AnswerHead;
import org.clementineford.wire.AnswerPart;
import org.clementineford.wire.Payload;
import org.clementineford.wire.Refusal;

/**
 * Exchange with an endpoint for one attempt. Passes on only payloads that belong to its request and
 * attempt, in order and without gaps. Any other payload ends the attempt.
 */
final class AttemptExchange implements ExchangeListener {
  private final AttemptTarget target;
  private final String requestId;
  private final Events events;
  private final Counter droppedPayloads;
  private final AnswerCheck check;
  private Exchange exchange;
  private boolean headReceived;
  private boolean ended;

  /**
   * Receives the events of an attempt. At most one of the last four methods is called, and no other
   * method after it.
   */
  interface Events {
    void head(AnswerHead head);

    void part(byte[] bytes);

    void end(AnswerEnd end);

    void refused(Refusal refusal);

    void corrupt(String reason);

    void lost(ExchangeFailure failure);
  }

  AttemptExchange(AttemptTarget target, String requestId, Events events, Counter droppedPayloads) {
    this.target = target;
    this.requestId = requestId;
    this.events = events;
    this.droppedPayloads = droppedPayloads;
    this.check = new AnswerCheck(requestId);
  }

  AttemptTarget target() {
    return target;
  }

  void opened(Exchange openedExchange) {
    exchange = openedExchange;
  }

  /**
   * Ends the attempt without further events.
   *
   * @param cancelAtPeer true to cancel the work at the endpoint as well
   */
  void abandon(boolean cancelAtPeer) {
    ended = true;
    if (cancelAtPeer && exchange != null) {
      exchange.cancel();
    }
  }

  @Override
  public void onPayload(Payload payload, boolean last) {
    if (ended) {
      droppedPayloads.labelValues("late").inc();
      return;
    }
    switch (payload.getSetField()) {
      case ANSWER_HEAD -> head(payload.getAnswerHead());
      case ANSWER_PART -> part(payload.getAnswerPart());
      case ANSWER_END -> end(payload.getAnswerEnd());
      case REFUSAL -> refusal(payload.getRefusal());
      default -> corrupt("unexpected " + payload.getSetField());
    }
    if (last && !ended) {
      corrupt("the exchange ended before the end of the answer");
    }
  }

  private void head(AnswerHead head) {
    if (!requestId.equals(head.getRequestId())
        || !target.attemptId().equals(head.getAttemptId())
        || headReceived) {
      corrupt("repeated head, or head of another request or attempt");
      return;
    }
    headReceived = true;
    events.head(head);
  }

  private void part(AnswerPart part) {
    byte[] bytes = part.getBytes();
    if (!headReceived || !check.acceptPart(part.getRequestId(), part.getOffset(), bytes)) {
      corrupt("part before the head, of another request or at a wrong offset");
      return;
    }
    events.part(bytes);
  }

  private void end(AnswerEnd end) {
    if (!headReceived || !check.acceptEnd(end.getRequestId(), end.getLength(), end.getCrc32c())) {
      corrupt("end before the head, of another request, or with a wrong length or checksum");
      return;
    }
    ended = true;
    events.end(end);
  }

  private void refusal(Refusal refusal) {
    if (!requestId.equals(refusal.getRequestId())) {
      corrupt("refusal of another request");
      return;
    }
    ended = true;
    events.refused(refusal);
  }

  private void corrupt(String reason) {
    ended = true;
    droppedPayloads.labelValues("mixed-up").inc();
    events.corrupt(reason);
  }

  @Override
  public void onFailure(ExchangeFailure failure) {
    if (!ended) {
      ended = true;
      events.lost(failure);
    }
  }
}
