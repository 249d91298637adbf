package org.clementineford.transport;

import org.clementineford.wire.Payload;

/** Receives the payloads of an exchange that this process opened, on the connection's thread. */
public interface ExchangeListener {
  /**
   * Called for each payload, in order.
   *
   * @param payload the payload
   * @param last true if the peer finished the exchange with this payload
   */
  void onPayload(Payload payload, boolean last);

  /**
   * Called once if the exchange ends without its last payload; nothing is called after it.
   *
   * @param failure what is known about the opening payload
   */
  void onFailure(ExchangeFailure failure);
}
