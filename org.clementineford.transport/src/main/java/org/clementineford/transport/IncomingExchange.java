package org.clementineford.transport;

import org.clementineford.wire.Payload;

/** An exchange opened by a peer. All methods are thread-safe. */
public interface IncomingExchange {
  /**
   * Returns the identity and the last tick received from the peer.
   *
   * @return information about the peer; the identity is that sent when the connection opened
   */
  PeerInfo peer();

  /**
   * Sends a payload that is not the last one of the exchange.
   *
   * @param payload the payload
   */
  void send(Payload payload);

  /**
   * Sends the last payload and ends the exchange.
   *
   * @param payload the payload
   */
  void finish(Payload payload);

  /**
   * Sets the action to run when the peer cancels the exchange or the connection is lost. If either
   * has happened already, the action runs immediately.
   *
   * @param action the action, run at most once
   */
  void onCancel(Runnable action);

  /**
   * Sets the receiver of the payloads that follow the first one.
   *
   * @param receiver called with each payload, in the order sent by the peer
   */
  void onPayload(java.util.function.Consumer<Payload> receiver);

  /**
   * Returns whether the connection accepts more bytes without queueing them in memory.
   *
   * @return false if the sender should wait for {@link #onWritable}
   */
  boolean isWritable();

  /**
   * Sets the action to run each time the connection becomes writable again.
   *
   * @param action the action, run on the event loop of the connection
   */
  void onWritable(Runnable action);
}
