package org.clementineford.endpoint.internal.weights;

import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpExchange;
import org.clementineford.transport.http.HttpServer;
import org.clementineford.weights.ChunkStore;
import org.clementineford.weights.Manifest;

/** HTTP server on the loopback interface from which the engines of this VM load complete copies. */
final class CopyServer implements AutoCloseable {
  private static final String PREFIX = "/copies/";
  private static final int MAX_REQUEST_BYTES = 1024;
  private static final int PART_BYTES = 64 << 10;

  private final ChunkStore store;
  private final Map<String, Manifest> copies = new ConcurrentHashMap<>();
  private final HttpServer server;

  CopyServer(ChunkStore store, EventLoopGroup eventLoops, HostPort address)
      throws ClementinefordException {
    this.store = store;
    this.server =
        HttpServer.start(eventLoops, address, MAX_REQUEST_BYTES, LinkShaping.NONE, this::handle);
  }

  /** Offers a copy whose chunk digests and overall digest are verified; returns its URL. */
  String offer(Manifest manifest) {
    copies.put(manifest.address(), manifest);
    return "http://" + server.address() + PREFIX + manifest.address();
  }

  void withdraw(String manifestAddress) {
    copies.remove(manifestAddress);
  }

  private void handle(HttpExchange exchange) {
    String path = exchange.request().path();
    Manifest manifest =
        path.startsWith(PREFIX) ? copies.get(path.substring(PREFIX.length())) : null;
    if (manifest == null) {
      exchange.respond(
          404, Map.of(), "no complete copy has this address".getBytes(StandardCharsets.UTF_8));
      return;
    }
    new Download(exchange, manifest).start();
  }

  @Override
  public void close() {
    server.close();
  }

  private final class Download {
    private final HttpExchange exchange;
    private final Manifest manifest;
    private int chunk;
    private int offset;
    private boolean ended;

    Download(HttpExchange exchange, Manifest manifest) {
      this.exchange = exchange;
      this.manifest = manifest;
    }

    void start() {
      exchange.onClosed(this::stop);
      exchange.onWritable(this::sendWhileWritable);
      exchange.start(
          200,
          Map.of(
              "Content-Type",
              "application/octet-stream",
              "Clementineford-Weights-Digest",
              manifest.digest()));
      sendWhileWritable();
    }

    private synchronized void stop() {
      ended = true;
    }

    private synchronized void sendWhileWritable() {
      while (!ended && exchange.isWritable()) {
        Optional<byte[]> part = store.read(manifest.chunkDigests().get(chunk), offset, PART_BYTES);
        if (part.isEmpty()) {
          ended = true;
          exchange.abort();
          return;
        }
        advance(part.get().length);
        ended = chunk >= manifest.chunks();
        boolean last = ended;
        // The state is updated before the write, which may call back into this method.
        exchange.write(part.get());
        if (last) {
          exchange.finish();
        }
      }
    }

    private void advance(int written) {
      offset += written;
      if (offset >= manifest.chunkLength(chunk)) {
        chunk++;
        offset = 0;
      }
    }
  }
}
