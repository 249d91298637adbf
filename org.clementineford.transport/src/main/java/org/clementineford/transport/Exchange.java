package org.clementineford.transport;

import org.clementineford.wire.Payload;

/** An exchange that this process opened. */
public interface Exchange {
  /**
   * Sends a further payload.
   *
   * @param payload the payload
   */
  void send(Payload payload);

  /** Tells the peer to stop and drops whatever arrives later; the listener is not called again. */
  void cancel();
}
