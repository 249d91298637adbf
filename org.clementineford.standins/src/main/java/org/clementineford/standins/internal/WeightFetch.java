package org.clementineford.standins.internal;

import java.net.URI;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.clementineford.kernel.HostPort;
import org.clementineford.transport.ExchangeFailure;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponseListener;

/** Reads weights from a URL and computes their digest without storing them. */
public final class WeightFetch implements HttpResponseListener {
  private static final long IDLE_TIMEOUT_MS = 5000;

  private final MessageDigest digest;
  private final CompletableFuture<Result> result = new CompletableFuture<>();
  private int status;
  private long length;

  private WeightFetch() throws NoSuchAlgorithmException {
    digest = MessageDigest.getInstance("SHA-256");
  }

  /**
   * Starts reading.
   *
   * @param client HTTP client that sends the request
   * @param url URL of the weights
   * @return length and digest; fails with {@link IllegalStateException} or {@link
   *     IllegalArgumentException} with the reason as message
   */
  public static CompletableFuture<Result> start(HttpClient client, String url) {
    try {
      URI uri = URI.create(url);
      if (uri.getHost() == null || uri.getPort() < 0) {
        throw new IllegalArgumentException("the URL has no host and port: " + url);
      }
      String target = uri.getRawPath() + (uri.getRawQuery() == null ? "" : "?" + uri.getRawQuery());
      WeightFetch fetch = new WeightFetch();
      client.send(
          new HostPort(uri.getHost(), uri.getPort()),
          new HttpRequest("GET", target, Map.of(), new byte[0]),
          IDLE_TIMEOUT_MS,
          fetch);
      return fetch.result;
    } catch (IllegalArgumentException | NoSuchAlgorithmException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  @Override
  public void onHead(int status, Map<String, String> headers) {
    this.status = status;
  }

  @Override
  public void onBody(byte[] bytes) {
    digest.update(bytes);
    length += bytes.length;
  }

  @Override
  public void onEnd() {
    if (status == 200) {
      result.complete(new Result(length, HexFormat.of().formatHex(digest.digest())));
    } else {
      result.completeExceptionally(new IllegalStateException("the URL returned status " + status));
    }
  }

  @Override
  public void onFailure(ExchangeFailure failure, String cause) {
    result.completeExceptionally(new IllegalStateException("reading the weights failed: " + cause));
  }

  /**
   * Length and digest of the weights that were read.
   *
   * @param length length in bytes
   * @param digest SHA-256, lower-case hexadecimal
   */
  public record Result(long length, String digest) {}
}
