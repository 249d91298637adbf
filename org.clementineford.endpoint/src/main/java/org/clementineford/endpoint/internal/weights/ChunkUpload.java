package org.clementineford.endpoint.internal.weights;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.clementineford.kernel.MessageCatalog;
import org.clementineford.transport.IncomingExchange;
import org.clementineford.transport.Payloads;
import org.clementineford.weights.ChunkStore;
import org.clementineford.wire.ChunkBytes;
import org.clementineford.wire.Payload;

/** Sends one chunk to a peer in parts, at the rate that the connection accepts. */
final class ChunkUpload {
  private static final MessageCatalog MESSAGES = MessageCatalog.of(ChunkUpload.class);

  /** Maximum length of a part; concurrent uploads on one link alternate after each part. */
  static final int PART_BYTES = 64 << 10;

  private final ChunkStore store;
  private final String manifestAddress;
  private final int chunk;
  private final String digest;
  private final int length;
  private final IncomingExchange exchange;
  private final Runnable onEnd;
  private int offset;
  private boolean ended;

  ChunkUpload(
      ChunkStore store,
      String manifestAddress,
      int chunk,
      String digest,
      int length,
      IncomingExchange exchange,
      Runnable onEnd) {
    this.store = store;
    this.manifestAddress = manifestAddress;
    this.chunk = chunk;
    this.digest = digest;
    this.length = length;
    this.exchange = exchange;
    this.onEnd = onEnd;
  }

  void start() {
    exchange.onCancel(this::end);
    exchange.onWritable(this::sendWhileWritable);
    sendWhileWritable();
  }

  private synchronized void sendWhileWritable() {
    while (!ended && exchange.isWritable()) {
      sendPart();
    }
  }

  private void sendPart() {
    Optional<byte[]> part = store.read(digest, offset, PART_BYTES);
    if (part.isEmpty()) {
      exchange.finish(Payloads.failure("chunk-dropped", MESSAGES.format("chunk-dropped")));
      end();
      return;
    }
    ChunkBytes bytes = new ChunkBytes(manifestAddress, chunk, offset, ByteBuffer.wrap(part.get()));
    offset += part.get().length;
    if (offset < length) {
      exchange.send(Payload.chunkBytes(bytes));
    } else {
      exchange.finish(Payload.chunkBytes(bytes));
      end();
    }
  }

  private synchronized void end() {
    if (!ended) {
      ended = true;
      onEnd.run();
    }
  }
}
