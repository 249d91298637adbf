package org.clementineford.serving.model;

/** How often a request may run and what its answer looks like. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs at most once for each attempt of the caller. */
  NON_IDEMPOTENT,
  /** A series of events. It may run again only from an event on, and only if it is resumable. */
  STREAM;

  /**
   * Tells whether a request that may have run can be sent again.
   *
   * @param resumable true if the route's streams continue after a given event
   * @return false if a second run could have a second effect
   */
  public boolean mayRunAgain(boolean resumable) {
    return this == IDEMPOTENT || (this == STREAM && resumable);
  }
}
