package org.clementineford.endpoint.internal.weights;

import java.util.concurrent.atomic.LongAdder;

/** Byte counts of one transfer. */
final class TransferCounts {
  private final LongAdder origin = new LongAdder();
  private final LongAdder peers = new LongAdder();
  private final LongAdder refetched = new LongAdder();

  void received(boolean fromPeer, long bytes) {
    (fromPeer ? peers : origin).add(bytes);
  }

  void recordWasted(long bytes) {
    refetched.add(bytes);
  }

  long fromOrigin() {
    return origin.sum();
  }

  long fromPeers() {
    return peers.sum();
  }

  long refetched() {
    return refetched.sum();
  }
}
