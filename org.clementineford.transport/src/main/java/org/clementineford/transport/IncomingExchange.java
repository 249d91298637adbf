package org.clementineford.transport;

import org.clementineford.wire.Payload;

/** An exchange that a peer opened. All methods may be called from any thread. */
public interface IncomingExchange {
  /**
   * Returns what is known about the peer.
   *
   * @return identity, as the peer stated it when the connection opened
   */
  PeerInfo peer();

  /**
   * Sends a payload that is not the last.
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
   * Sets what runs when the peer cancels the exchange or the connection is lost. Runs at once if
   * that has happened already.
   *
   * @param action runs at most once
   */
  void onCancel(Runnable action);

  /**
   * Sets what runs for each further payload of the peer.
   *
   * @param receiver receives the payloads in order
   */
  void onPayload(java.util.function.Consumer<Payload> receiver);

  /**
   * Tells whether the connection accepts more bytes without queueing them in memory.
   *
   * @return false if the sender should wait for {@link #onWritable}
   */
  boolean isWritable();

  /**
   * Sets what runs each time the connection becomes writable again.
   *
   * @param action the action, on the connection's thread
   */
  void onWritable(Runnable action);
}
