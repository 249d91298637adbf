package org.clementineford.bench.distribution;

import java.net.URI;
import java.security.MessageDigest;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.PlatformException;
import org.clementineford.kernel.platform.ModelEngine;
import org.clementineford.transport.ExchangeFailure;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponseListener;
import org.clementineford.weights.Digests;

/** Engine that reads weights over HTTP and reports the digest of what it answers from. */
final class BenchEngine implements ModelEngine {
  private static final long IDLE_TIMEOUT_MS = 10_000;

  private final HttpClient client;
  private volatile LoadedVersion loaded;

  BenchEngine(HttpClient client) {
    this.client = client;
  }

  /** Returns what an answer would be computed from, or null before the first load. */
  LoadedVersion answersFrom() {
    return loaded;
  }

  @Override
  public CompletableFuture<LoadedVersion> load(LoadOrder order) {
    CompletableFuture<LoadedVersion> result = new CompletableFuture<>();
    URI url = URI.create(order.url());
    MessageDigest digest = Digests.sha256();
    client.send(
        new HostPort(url.getHost(), url.getPort()),
        new HttpRequest("GET", url.getPath(), Map.of(), new byte[0]),
        IDLE_TIMEOUT_MS,
        new HttpResponseListener() {
          @Override
          public void onHead(int status, Map<String, String> headers) {}

          @Override
          public void onBody(byte[] bytes) {
            digest.update(bytes);
          }

          @Override
          public void onEnd() {
            loaded =
                new LoadedVersion(order.model(), order.version(), Digests.hex(digest.digest()));
            result.complete(loaded);
          }

          @Override
          public void onFailure(ExchangeFailure failure, String cause) {
            result.completeExceptionally(new PlatformException(ErrorKind.UNAVAILABLE, cause));
          }
        });
    return result;
  }

  @Override
  public CompletableFuture<EngineLoad> readLoad() {
    return CompletableFuture.completedFuture(new EngineLoad(0, 0, 1, 0, loaded));
  }
}
