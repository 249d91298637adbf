package org.clementineford.requests.claims;

/** What is known after an endpoint was asked to report or revoke an attempt. */
public enum AttemptReport {
  /** The endpoint will never run the attempt. */
  REVOKED,
  /** The attempt runs and goes on. */
  RUNNING,
  /** The attempt has ended; the report holds its answer. */
  FINISHED,
  /** The incarnation that was given the attempt is gone, or it has forgotten the attempt. */
  FORGOTTEN,
  /** The endpoint did not answer. */
  UNREACHABLE
}
