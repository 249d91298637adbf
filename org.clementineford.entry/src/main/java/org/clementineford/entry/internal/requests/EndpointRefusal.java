package org.clementineford.entry.internal.requests;

import org.clementineford.requests.attempts.RunKnowledge;
import org.clementineford.wire.Refusal;
import org.clementineford.wire.RunState;

/** A refusal of an endpoint with the status that the caller gets for it. */
final class EndpointRefusal {
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final long DEFAULT_RETRY_AFTER_MS = 1000;

  private final Refusal refusal;

  private EndpointRefusal(Refusal refusal) {
    this.refusal = refusal;
  }

  static EndpointRefusal of(Refusal refusal) {
    return new EndpointRefusal(refusal);
  }

  boolean isLeaving() {
    return refusal.getKind().equals("LEAVING");
  }

  boolean isRetryableElsewhere() {
    return refusal.getRun() == RunState.NOT_RUN;
  }

  Refusals.Response response(RunKnowledge run, String requestId) {
    long retryAfterMs =
        refusal.getRetryAfterMs() > 0 ? refusal.getRetryAfterMs() : DEFAULT_RETRY_AFTER_MS;
    return Refusals.response(
        refusal.getKind(), SERVICE_UNAVAILABLE, retryAfterMs, run, requestId, refusal.getMessage());
  }
}
