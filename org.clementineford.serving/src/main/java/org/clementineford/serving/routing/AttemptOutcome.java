package org.clementineford.serving.routing;

/** Outcome of sending a request to an endpoint that gave no answer to pass to the caller. */
public enum AttemptOutcome {
  /** The endpoint reported that it did not run the request. */
  REJECTED(true, 0.0),
  /** The endpoint reported that the request was addressed to another endpoint. */
  OTHER_ENDPOINT(true, 1.0),
  /** The connection attempt failed, so no byte was sent. */
  NOT_CONNECTED(true, 1.0),
  /** The connection closed, or the answer was invalid, before the answer was complete. */
  BROKEN(false, 0.5),
  /** No answer arrived within the timeout. */
  SILENT(false, 1.0),
  /** The weights of the endpoint become too old before its first event; it is not at fault. */
  OLD_WEIGHTS(false, 0.0);

  private final boolean notRun;
  private final double failureWeight;

  AttemptOutcome(boolean notRun, double failureWeight) {
    this.notRun = notRun;
    this.failureWeight = failureWeight;
  }

  /**
   * Returns whether it is certain that the request did not run and will not run.
   *
   * @return true if a request of any kind may be sent again
   */
  public boolean provesNotRun() {
    return notRun;
  }

  /**
   * Returns how strongly this outcome counts as a failure of the endpoint.
   *
   * @return 0 for no failure, up to 1 for an endpoint that seems to have stopped
   */
  public double failureWeight() {
    return failureWeight;
  }
}
