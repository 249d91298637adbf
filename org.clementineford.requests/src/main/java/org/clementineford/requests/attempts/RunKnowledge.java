package org.clementineford.requests.attempts;

/** What is known about whether a request was run. */
public enum RunKnowledge {
  /** It was certainly not run, and no copy of it can still run. */
  NOT_RUN("not-run"),
  /** It may have been run. */
  UNKNOWN("unknown"),
  /** It was run. */
  RAN("ran");

  private final String headerValue;

  RunKnowledge(String headerValue) {
    this.headerValue = headerValue;
  }

  /**
   * Returns the value of the header {@code Clementineford-Run}.
   *
   * @return lower-case text
   */
  public String headerValue() {
    return headerValue;
  }
}
