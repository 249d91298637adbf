package org.clementineford.transport;

/** Why an exchange ended without its last payload. */
public enum ExchangeFailure {
  /** No byte of the opening frame was written to a connection, so the peer never saw it. */
  NEVER_WRITTEN,
  /** The opening frame may have reached the peer. */
  UNKNOWN;

  /**
   * Tells whether the peer certainly did not receive the opening payload.
   *
   * @return true if it is safe to send a non-idempotent request again
   */
  public boolean provesNotReceived() {
    return this == NEVER_WRITTEN;
  }
}
