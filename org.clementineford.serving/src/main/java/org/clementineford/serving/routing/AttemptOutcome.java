package org.clementineford.serving.routing;

/** How sending a request to one endpoint ended without an answer for the caller. */
public enum AttemptOutcome {
  /** The endpoint stated that it did not run the request. */
  REJECTED(true, 0.0),
  /** The endpoint stated that another endpoint was meant. */
  OTHER_ENDPOINT(true, 1.0),
  /** No connection was made, so no byte was sent. */
  NOT_CONNECTED(true, 1.0),
  /** The connection ended or sent something wrong before the answer was whole. */
  BROKEN(false, 0.5),
  /** Nothing arrived in time. */
  SILENT(false, 1.0);

  private final boolean notRun;
  private final double blame;

  AttemptOutcome(boolean notRun, double blame) {
    this.notRun = notRun;
    this.blame = blame;
  }

  /**
   * Tells whether it is certain that the request did not run and will not run.
   *
   * @return true if any request may be sent again
   */
  public boolean provesNotRun() {
    return notRun;
  }

  /**
   * Returns how much this speaks against the endpoint.
   *
   * @return 0 for nothing, 1 for an endpoint that seems to be gone
   */
  public double blame() {
    return blame;
  }
}
