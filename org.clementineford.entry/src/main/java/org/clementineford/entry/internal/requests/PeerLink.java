package org.clementineford.entry.internal.requests;

import org.clementineford.kernel.HostPort;
import org.clementineford.transport.Exchange;
import org.clementineford.transport.ExchangeListener;
import org.clementineford.transport.PeerInfo;
import org.clementineford.transport.PeerNetwork;
import org.clementineford.wire.Payload;

/** The part of the peer network that requests use. */
public interface PeerLink {
  /**
   * Opens an exchange.
   *
   * @param address listener of the peer
   * @param opening the first payload
   * @param listener receives the replies
   * @return the exchange
   */
  Exchange open(HostPort address, Payload opening, ExchangeListener listener);

  /**
   * Returns what is known about a peer, and connects to it if there is no connection.
   *
   * @param address listener of the peer
   * @return identity and last tick; the identity is null until the peer's hello arrived
   */
  PeerInfo peer(HostPort address);

  /**
   * Wraps a network.
   *
   * @param network the network
   * @return the link
   */
  static PeerLink of(PeerNetwork network) {
    return new PeerLink() {
      @Override
      public Exchange open(HostPort address, Payload opening, ExchangeListener listener) {
        return network.open(address, opening, listener);
      }

      @Override
      public PeerInfo peer(HostPort address) {
        return network.peer(address);
      }
    };
  }
}
