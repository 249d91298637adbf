package org.clementineford.transport;

/** Reason why an exchange ended before its last payload was received. */
public enum ExchangeFailure {
  /** No byte of the OPEN frame was written to a connection, so the peer did not receive it. */
  NEVER_WRITTEN,
  /** The OPEN frame may have reached the peer. */
  UNKNOWN;

  /**
   * Returns whether it is certain that the peer did not receive the first payload.
   *
   * @return true if it is safe to send a non-idempotent request again
   */
  public boolean isCertainlyNotReceived() {
    return this == NEVER_WRITTEN;
  }
}
