package org.clementineford.entry.internal.requests;

import org.clementineford.kernel.HostPort;
import org.clementineford.transport.Exchange;
import org.clementineford.transport.ExchangeListener;
import org.clementineford.transport.PeerInfo;
import org.clementineford.transport.PeerNetwork;
import org.clementineford.wire.Payload;

/** Exchanges and connections to peers, the part of the peer network that requests need. */
public interface PeerExchanges {
  /**
   * Opens an exchange with a peer.
   *
   * @param address address on which the peer listens
   * @param opening the first payload
   * @param listener receives the replies
   * @return the exchange
   */
  Exchange open(HostPort address, Payload opening, ExchangeListener listener);

  /**
   * Returns the state of the connection to a peer, and connects if there is none.
   *
   * @param address address on which the peer listens
   * @return identity and last tick of the peer; the identity is null until its hello has arrived
   */
  PeerInfo peer(HostPort address);

  /**
   * Returns an adapter for a peer network.
   *
   * @param network peer network
   * @return adapter that delegates to the network
   */
  static PeerExchanges of(PeerNetwork network) {
    return new PeerExchanges() {
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
