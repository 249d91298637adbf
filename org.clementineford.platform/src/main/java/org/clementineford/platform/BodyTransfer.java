package org.clementineford.platform;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.PlatformException;
import org.clementineford.transport.ExchangeFailure;
import org.clementineford.transport.http.HttpCall;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;
import org.clementineford.transport.http.HttpResponseListener;

/**
 * Collects an answer that may take long as a whole. It fails once nothing arrives for a set time,
 * so a slow link does not fail but a stalled one does. Cancelling the future closes the connection.
 */
final class BodyTransfer implements HttpResponseListener {
  private final CompletableFuture<HttpResponse> future = new CompletableFuture<>();
  private final ByteArrayOutputStream body;
  private int status;
  private Map<String, String> headers = Map.of();

  private BodyTransfer(int expectedLength) {
    body = new ByteArrayOutputStream(expectedLength);
  }

  static CompletableFuture<HttpResponse> start(
      HttpClient client,
      HostPort address,
      HttpRequest request,
      int expectedLength,
      long idleTimeoutMs) {
    BodyTransfer transfer = new BodyTransfer(expectedLength);
    HttpCall call = client.send(address, request, idleTimeoutMs, transfer);
    transfer.future.whenComplete(
        (answer, failure) -> {
          if (transfer.future.isCancelled()) {
            call.cancel();
          }
        });
    return transfer.future;
  }

  @Override
  public void onHead(int status, Map<String, String> headers) {
    this.status = status;
    this.headers = headers;
  }

  @Override
  public void onBody(byte[] bytes) {
    body.writeBytes(bytes);
  }

  @Override
  public void onEnd() {
    future.complete(new HttpResponse(status, headers, body.toByteArray()));
  }

  @Override
  public void onFailure(ExchangeFailure failure, String cause) {
    ErrorKind kind =
        failure.provesNotReceived() ? ErrorKind.UNAVAILABLE : ErrorKind.OUTCOME_UNKNOWN;
    future.completeExceptionally(new PlatformException(kind, cause));
  }
}
