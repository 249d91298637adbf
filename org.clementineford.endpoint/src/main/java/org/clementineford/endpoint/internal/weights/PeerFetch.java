package org.clementineford.endpoint.internal.weights;

import java.util.concurrent.TimeUnit;
import org.clementineford.transport.Exchange;
import org.clementineford.transport.ExchangeFailure;
import org.clementineford.transport.ExchangeListener;
import org.clementineford.transport.PeerNetwork;
import org.clementineford.weights.Fetch;
import org.clementineford.weights.FetchFailure;
import org.clementineford.wire.ChunkBytes;
import org.clementineford.wire.ChunkFetch;
import org.clementineford.wire.ChunkRefusal;
import org.clementineford.wire.ChunkRefusalKind;
import org.clementineford.wire.Payload;

/** Fetches one chunk from a peer. */
final class PeerFetch implements ExchangeListener {
  private final Fetch fetch;
  private final String manifestAddress;
  private final byte[] bytes;
  private final Listener listener;
  private volatile Exchange exchange;
  private volatile int received;

  PeerFetch(Fetch fetch, String manifestAddress, int length, Listener listener) {
    this.fetch = fetch;
    this.manifestAddress = manifestAddress;
    this.bytes = new byte[length];
    this.listener = listener;
  }

  void start(PeerNetwork network) {
    ChunkFetch request = new ChunkFetch(manifestAddress, fetch.chunk(), network.self());
    exchange = network.open(fetch.peer().address(), Payload.chunkFetch(request), this);
  }

  /** Cancels the fetch; returns the number of bytes received so far. */
  int cancel() {
    Exchange current = exchange;
    if (current != null) {
      current.cancel();
    }
    return received;
  }

  @Override
  public void onPayload(Payload payload, boolean last) {
    if (payload.isSetChunkBytes()) {
      onBytes(payload.getChunkBytes(), last);
    } else if (payload.isSetChunkRefusal()) {
      ChunkRefusal refusal = payload.getChunkRefusal();
      FetchFailure failure =
          refusal.getKind() == ChunkRefusalKind.BUSY ? FetchFailure.BUSY : FetchFailure.ABSENT;
      listener.failed(
          fetch, failure, TimeUnit.MILLISECONDS.toNanos(refusal.getRetryAfterMs()), received);
    } else {
      listener.failed(fetch, FetchFailure.ABSENT, 0, received);
    }
  }

  private void onBytes(ChunkBytes part, boolean last) {
    byte[] content = part.getBytes();
    boolean matches =
        part.getManifestDigest().equals(manifestAddress)
            && part.getChunk() == fetch.chunk()
            && part.getOffset() == received
            && content.length <= bytes.length - received;
    if (!matches) {
      cancel();
      listener.failed(fetch, FetchFailure.CORRUPT, 0, received + content.length);
      return;
    }
    System.arraycopy(content, 0, bytes, received, content.length);
    received += content.length;
    listener.progressed(fetch);
    if (last) {
      listener.received(fetch, bytes);
    }
  }

  @Override
  public void onFailure(ExchangeFailure failure) {
    listener.failed(fetch, FetchFailure.LOST, 0, received);
  }

  /** Receives the progress and outcome of a fetch on the thread of the connection. */
  interface Listener {
    /** Called when bytes have arrived. */
    void progressed(Fetch fetch);

    /** Called once with the chunk before verification; an incomplete chunk fails verification. */
    void received(Fetch fetch, byte[] bytes);

    /** Called once if the fetch failed. */
    void failed(Fetch fetch, FetchFailure failure, long retryAfterNanos, int wastedBytes);
  }
}
