package org.clementineford.platform;

import static org.clementineford.platform.HttpCalls.convert;
import static org.clementineford.platform.HttpCalls.encodePath;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.CompletionExceptions;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.PlatformException;
import org.clementineford.kernel.platform.WeightSource;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;
import org.clementineford.transport.http.ResponseBounds;

/**
 * HTTP client of an origin or weight store. Reading a manifest fails after 2 s without a response;
 * reading a range fails if no byte arrives for 8 s, regardless of its total duration. Cancelling
 * the future of a range closes its connection, so that the source stops sending. Calls fail with
 * {@code NOT_FOUND} if the source responds that it has no such version, otherwise with {@code
 * UNAVAILABLE}.
 */
public final class HttpWeightSource implements WeightSource {
  // Reads queue behind one another on a link between regions. A timeout of 2 s aborted
  // reads that were only queued; they were repeated, which filled the link with repeated bytes.
  private static final long RANGE_IDLE_TIMEOUT_MS = 8000;

  /** Longest time of a read that receives bytes, in milliseconds. */
  private static final long MAX_RANGE_MS = 600_000;

  /** Largest body of a response that reports an error, in bytes. */
  private static final int MAX_ERROR_BYTES = 65_536;

  private final HttpCalls calls;

  /**
   * Creates an adapter.
   *
   * @param client client for the calls
   * @param address address of the source
   */
  public HttpWeightSource(HttpClient client, HostPort address) {
    this.calls = new HttpCalls(client, address);
  }

  @Override
  public CompletableFuture<byte[]> manifest(String model, String version) {
    String subject = "the manifest of " + model + " " + version;
    return convert(
        calls.read(path(model, version, "manifest"), subject, HttpCalls.TIMEOUT_MS),
        response -> {
          checkStatus(subject, response, 200);
          return response.body();
        });
  }

  @Override
  public CompletableFuture<byte[]> read(String model, String version, long offset, int length) {
    String subject = length + " bytes at " + offset + " of " + model + " " + version;
    String range = "bytes=" + offset + "-" + (offset + length - 1);
    HttpRequest request =
        new HttpRequest("GET", path(model, version, "data"), Map.of("Range", range), new byte[0]);
    CompletableFuture<byte[]> bytes = new CompletableFuture<>();
    CompletableFuture<HttpResponse> transfer =
        calls
            .client()
            .call(
                calls.address(),
                request,
                new ResponseBounds(
                    RANGE_IDLE_TIMEOUT_MS, MAX_RANGE_MS, Math.max(length, MAX_ERROR_BYTES)));
    bytes.whenComplete(
        (read, failure) -> {
          if (bytes.isCancelled()) {
            transfer.cancel(false);
          }
        });
    transfer.whenComplete(
        (response, failure) -> {
          try {
            if (failure != null) {
              throw calls.readFailed(subject, CompletionExceptions.unwrap(failure));
            }
            bytes.complete(range(subject, response, length));
          } catch (PlatformException e) {
            bytes.completeExceptionally(e);
          }
        });
    return bytes;
  }

  private byte[] range(String subject, HttpResponse response, int length) throws PlatformException {
    checkStatus(subject, response, 206);
    if (response.body().length != length) {
      throw calls.malformed(
          ErrorKind.UNAVAILABLE, subject, "it has " + response.body().length + " bytes");
    }
    return response.body();
  }

  private void checkStatus(String subject, HttpResponse response, int expected)
      throws PlatformException {
    if (response.status() == 404) {
      throw HttpCalls.failure(ErrorKind.NOT_FOUND, null, "not-found", subject, calls.address());
    }
    if (response.status() != expected) {
      throw calls.readFailed(subject, "status " + response.status());
    }
  }

  private static String path(String model, String version, String part) {
    return "/weights/" + encodePath(model) + "/" + encodePath(version) + "/" + part;
  }
}
