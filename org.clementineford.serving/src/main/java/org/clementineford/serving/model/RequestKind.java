package org.clementineford.serving.model;

/** Kind of a request: how often it may run, and the form of its answer. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Must run at most once for each attempt of the caller. */
  NON_IDEMPOTENT,
  /**
   * Answered by a stream of events. May run again only to continue after a given event, and only if
   * the route is resumable.
   */
  STREAM;

  /**
   * Returns whether a request that may have run may be sent again.
   *
   * @param resumable true if streams of the route can continue after a given event
   * @return false if a second run could have a second effect
   */
  public boolean mayRunAgain(boolean resumable) {
    return this == IDEMPOTENT || (this == STREAM && resumable);
  }
}
