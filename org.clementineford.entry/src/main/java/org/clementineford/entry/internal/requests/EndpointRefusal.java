package org.clementineford.entry.internal.requests;

import java.util.Optional;
import org.clementineford.requests.RefusalKind;
import org.clementineford.requests.RunState;
import org.clementineford.wire.Refusal;

/** A refusal by an endpoint, and the HTTP response that the caller gets for it. */
final class EndpointRefusal {
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final long DEFAULT_RETRY_AFTER_MS = 1000;

  private final Refusal refusal;
  private final Optional<RefusalKind> kind;
  private final RunState run;

  EndpointRefusal(Refusal refusal) {
    this.refusal = refusal;
    this.kind = RefusalKind.fromWireName(refusal.getKind());
    this.run = refusal.getRun() == null ? RunState.UNKNOWN : toRunState(refusal);
  }

  private static RunState toRunState(Refusal refusal) {
    return switch (refusal.getRun()) {
      case NOT_RUN -> RunState.NOT_RUN;
      case RAN -> RunState.RAN;
      case UNKNOWN -> RunState.UNKNOWN;
    };
  }

  /** Returns the kind, or null if a newer endpoint sent a kind that is unknown to this version. */
  RefusalKind kind() {
    return kind.orElse(null);
  }

  RunState run() {
    return run;
  }

  boolean mayRetryElsewhere(CallerRequest request) {
    if (kind() == RefusalKind.REVOKED) {
      // Another submission of the same key revoked this attempt to run its own. The claim names the
      // attempt that may run.
      return request.requiresClaim();
    }
    return kind.map(known -> known.mayRetryElsewhere(run, request.idempotent()))
        .orElse(run.allowsAnotherRun(request.idempotent()));
  }

  RefusalResponses.Response response(RunState knownRunState, String requestId) {
    // The request may have run in another attempt that used the same key.
    RunState reportedRunState = kind() == RefusalKind.KEY_SEEN ? RunState.UNKNOWN : knownRunState;
    long retryAfterMs =
        refusal.getRetryAfterMs() > 0 ? refusal.getRetryAfterMs() : DEFAULT_RETRY_AFTER_MS;
    int status = kind.map(RefusalKind::httpStatus).orElse(SERVICE_UNAVAILABLE);
    return RefusalResponses.response(
        refusal.getKind(), status, retryAfterMs, reportedRunState, requestId, refusal.getMessage());
  }
}
