package org.clementineford.bench.distribution;

import io.netty.channel.EventLoopGroup;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpExchange;
import org.clementineford.transport.http.HttpServer;
import org.clementineford.weights.Manifest;

/** Origin of one version, over HTTP. */
final class BenchOrigin implements AutoCloseable {
  private static final int MAX_REQUEST_BYTES = 4096;

  private final Manifest manifest;
  private final byte[] weights;
  private final LongAdder bytesRead = new LongAdder();
  private final HttpServer server;

  BenchOrigin(EventLoopGroup eventLoops, Manifest manifest, byte[] weights, LinkShaping shaping)
      throws ClementinefordException {
    this.manifest = manifest;
    this.weights = weights;
    this.server =
        HttpServer.start(
            eventLoops, new HostPort("127.0.0.1", 0), MAX_REQUEST_BYTES, shaping, this::handle);
  }

  HostPort address() {
    return server.address();
  }

  double copiesRead() {
    return bytesRead.sum() / (double) weights.length;
  }

  private void handle(HttpExchange exchange) {
    String range = exchange.request().header("Range");
    if (range == null) {
      exchange.respond(200, Map.of(), manifest.toJson());
      return;
    }
    String[] bounds = range.substring("bytes=".length()).split("-");
    int first = Integer.parseInt(bounds[0]);
    int last = Integer.parseInt(bounds[1]);
    bytesRead.add(last - first + 1L);
    exchange.respond(206, Map.of(), Arrays.copyOfRange(weights, first, last + 1));
  }

  @Override
  public void close() {
    server.close();
  }
}
