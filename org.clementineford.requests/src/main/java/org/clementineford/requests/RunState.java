package org.clementineford.requests;

/** Knowledge about whether a request was run. */
public enum RunState {
  /** The request was not run and will not be run. */
  NOT_RUN,
  /** The request may have been run. */
  UNKNOWN,
  /** The request was run, at least in part. */
  RAN;

  /**
   * Returns whether the request can be run again without repeating an effect.
   *
   * @param idempotent true if repeating the request has no further effect
   * @return true if the request may be sent again
   */
  public boolean allowsAnotherRun(boolean idempotent) {
    return idempotent || this == NOT_RUN;
  }

  /**
   * Returns the value of the header {@code Clementineford-Run}.
   *
   * @return {@code not-run}, {@code unknown} or {@code ran}
   */
  public String headerValue() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }
}
