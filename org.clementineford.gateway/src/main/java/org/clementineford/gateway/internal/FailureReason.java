package org.clementineford.gateway.internal;

import org.clementineford.serving.quarantine.Suspect;

/**
 * Reason why the gateway itself, and not an endpoint, answered a request with an error. The names
 * of the constants appear in logs and as a label of metrics.
 */
enum FailureReason {
  /** The configuration has no route for the host and path. */
  NO_ROUTE(404),
  /** The route requires a key, and the request has no key of a client account. */
  UNKNOWN_KEY(401),
  /** No configuration has been received yet. */
  NO_CONFIGURATION(503),
  /** The configuration is too old to be sure that the key still belongs to a client account. */
  KEY_NOT_PROVEN(503),
  /** The service is not configured or has no available endpoint. */
  NO_ENDPOINT(503),
  /**
   * The predicted wait for an engine is too long for the caller's deadline, or this VM's limit of
   * connections to an endpoint is reached.
   */
  OVERLOADED(503),
  /** All endpoints of the service asked for a pause. */
  ENDPOINTS_PAUSED(503),
  /** Engines crash on a part of the prompt. */
  PROMPT_QUARANTINED(503),
  /** Endpoints crash on requests of this target, caller and body. */
  REQUEST_QUARANTINED(503),
  /** Every attempt failed without running the request, and no further attempt is made. */
  REJECTED(503),
  /**
   * The request was not sent to an endpoint before its deadline, or waited so long that it was
   * given up.
   */
  NOT_SENT_IN_TIME(503),
  /** The program failed while it handled the request, which was not sent to an endpoint. */
  INTERNAL_ERROR(503),
  /**
   * This process stops, and the request was not sent, since it would not end before the process.
   */
  STOPPING(503),
  /** This process stops before the end of the request, which an endpoint may have run. */
  STOPPED(502),
  /** The request may have run, but its response was lost. */
  OUTCOME_UNKNOWN(502),
  /** The deadline passed after the request was sent to an endpoint that may have run it. */
  TIMED_OUT(504);

  private static final int UNAVAILABLE = 503;

  private final int status;

  FailureReason(int status) {
    this.status = status;
  }

  static FailureReason quarantined(Suspect.Kind kind) {
    return switch (kind) {
      case PROMPT_PART -> PROMPT_QUARANTINED;
      case REQUEST -> REQUEST_QUARANTINED;
    };
  }

  int status() {
    return status;
  }

  /** Returns whether the caller may retry the request, since it has not run. */
  boolean isRetryable() {
    return status == UNAVAILABLE;
  }
}
