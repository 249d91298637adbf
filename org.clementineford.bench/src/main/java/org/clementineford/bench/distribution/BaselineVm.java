package org.clementineford.bench.distribution;

import io.netty.channel.EventLoopGroup;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.platform.WeightSource;
import org.clementineford.platform.HttpWeightSource;
import org.clementineford.transport.IncomingExchange;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.Payloads;
import org.clementineford.transport.PeerNetwork;
import org.clementineford.transport.PeerTiming;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.weights.Manifest;
import org.clementineford.wire.ChunkBytes;
import org.clementineford.wire.ChunkFetch;
import org.clementineford.wire.Payload;

/** A VM that reads all chunks in order from one source and passes them to whoever asks. */
final class BaselineVm implements AutoCloseable {
  private static final int OUTSTANDING = 4;

  private final Manifest manifest;
  private final PeerNetwork network;
  private final HttpClient client;
  private final HostPort address;
  private final byte[][] held;
  private final Map<Integer, List<IncomingExchange>> waiting = new HashMap<>();
  private final CompletableFuture<Void> whole = new CompletableFuture<>();
  private HostPort predecessor;
  private WeightSource origin;
  private int next;
  private int arrived;

  BaselineVm(EventLoopGroup eventLoops, LinkMap.Place place, LinkShaping shaping, Manifest manifest)
      throws ClementinefordException {
    this.manifest = manifest;
    this.held = new byte[manifest.chunks()][];
    HostPort any = new HostPort("127.0.0.1", 0);
    VmIdentity self = new VmIdentity(place.name(), VmRole.ENDPOINT, "dc", place.region(), 1, any);
    this.network =
        new PeerNetwork(
            eventLoops,
            Payloads.toWire(self),
            PeerTiming.DEFAULT,
            SystemNanoClock.INSTANCE,
            shaping);
    this.client = new HttpClient(eventLoops, shaping);
    network.setHandler(this::asked);
    this.address = network.listen(any);
  }

  HostPort address() {
    return address;
  }

  CompletableFuture<Void> whole() {
    return whole;
  }

  void readOrigin(HostPort originAddress) {
    origin = new HttpWeightSource(client, originAddress);
    startReading();
  }

  void readPeer(HostPort peerAddress) {
    predecessor = peerAddress;
    startReading();
  }

  private void startReading() {
    for (int i = 0; i < OUTSTANDING; i++) {
      readNext();
    }
  }

  private void readNext() {
    int chunk;
    synchronized (this) {
      if (next >= manifest.chunks()) {
        return;
      }
      chunk = next++;
    }
    read(chunk)
        .whenComplete(
            (bytes, failure) -> {
              if (failure != null) {
                whole.completeExceptionally(failure);
              } else {
                store(chunk, bytes);
                readNext();
              }
            });
  }

  private CompletableFuture<byte[]> read(int chunk) {
    if (origin != null) {
      return origin.read(
          manifest.model(),
          manifest.version(),
          manifest.offset(chunk),
          manifest.chunkLength(chunk));
    }
    ChunkFetch fetch = new ChunkFetch(manifest.address(), chunk, network.self());
    return network
        .call(predecessor, Payload.chunkFetch(fetch))
        .thenApply(reply -> reply.getChunkBytes().getBytes());
  }

  private void store(int chunk, byte[] bytes) {
    List<IncomingExchange> ready;
    synchronized (this) {
      held[chunk] = bytes;
      arrived++;
      ready = waiting.remove(chunk);
      if (arrived == manifest.chunks()) {
        whole.complete(null);
      }
    }
    if (ready != null) {
      ready.forEach(exchange -> send(chunk, exchange));
    }
  }

  private void asked(Payload opening, IncomingExchange exchange) {
    int chunk = opening.getChunkFetch().getChunk();
    synchronized (this) {
      if (held[chunk] == null) {
        waiting.computeIfAbsent(chunk, key -> new ArrayList<>()).add(exchange);
        return;
      }
    }
    send(chunk, exchange);
  }

  private void send(int chunk, IncomingExchange exchange) {
    exchange.finish(
        Payload.chunkBytes(
            new ChunkBytes(manifest.address(), chunk, 0, ByteBuffer.wrap(held[chunk]))));
  }

  @Override
  public void close() {
    network.close();
    client.close();
  }
}
