package org.clementineford.transport;

import org.clementineford.wire.Payload;

/** An exchange with a peer, opened by this process. */
public interface Exchange {
  /**
   * Sends a further payload.
   *
   * @param payload the payload
   */
  void send(Payload payload);

  /**
   * Cancels the exchange at the peer and ignores payloads that arrive later. The listener is not
   * called again.
   */
  void cancel();
}
