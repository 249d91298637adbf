package org.clementineford.requests.claims;

/** Status of an attempt after its endpoint was asked to report or revoke it. */
public enum AttemptStatus {
  /** The endpoint will never run the attempt. */
  REVOKED,
  /** The attempt is running and continues. */
  RUNNING,
  /** The attempt has ended; the report contains its answer. */
  FINISHED,
  /** The incarnation that received the attempt has ended or no longer has a record of it. */
  FORGOTTEN,
  /** The endpoint did not reply. */
  UNREACHABLE
}
