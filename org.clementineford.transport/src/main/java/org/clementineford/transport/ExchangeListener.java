package org.clementineford.transport;

import org.clementineford.wire.Payload;

/**
 * Receives the payloads of an exchange opened by this process. Called on the event loop of the
 * connection.
 */
public interface ExchangeListener {
  /**
   * Called for each payload, in the order sent by the peer.
   *
   * @param payload the payload
   * @param last true if this is the last payload of the exchange
   */
  void onPayload(Payload payload, boolean last);

  /**
   * Called once if the exchange ends before its last payload. No method is called afterwards.
   *
   * @param failure whether the peer may have received the first payload
   */
  void onFailure(ExchangeFailure failure);
}
