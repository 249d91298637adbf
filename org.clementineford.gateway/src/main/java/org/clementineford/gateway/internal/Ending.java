package org.clementineford.gateway.internal;

/** Why this system, and not an endpoint, ended a request. */
enum Ending {
  /** The configuration has no route for the host and path. */
  NO_ROUTE(404),
  /** The route needs a key, and the request has none that belongs to a client account. */
  UNKNOWN_KEY(401),
  /** No configuration is known yet. */
  NO_CONFIGURATION(503),
  /** It is not certain that the key still belongs to its client account. */
  KEY_NOT_PROVEN(503),
  /** The service is not configured or has no usable endpoint. */
  NO_ENDPOINT(503),
  /** Waiting requests would take longer than the caller waits. */
  OVERLOADED(503),
  /** Each endpoint that was tried stated that it did not run the request. */
  REJECTED(503),
  /** The time was over before the request was sent to an endpoint. */
  NOT_SENT_IN_TIME(503),
  /** The request may have run, and its answer is lost. */
  OUTCOME_UNKNOWN(502),
  /** The time was over while an endpoint worked on the request. */
  TIMED_OUT(504);

  private static final int UNAVAILABLE = 503;

  private final int status;

  Ending(int status) {
    this.status = status;
  }

  int status() {
    return status;
  }

  /** Tells whether the caller may send the request again, since it has not run. */
  boolean asksToReturn() {
    return status == UNAVAILABLE;
  }
}
