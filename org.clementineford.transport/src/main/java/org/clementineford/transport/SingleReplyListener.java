package org.clementineford.transport;

import java.util.concurrent.CompletableFuture;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.MessageCatalog;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.wire.Payload;

/** Completes a future with the reply of an exchange that has a single reply. */
final class SingleReplyListener implements ExchangeListener {
  private static final MessageCatalog MESSAGES = MessageCatalog.of(PeerNetwork.class);

  private final HostPort address;
  private final CompletableFuture<Payload> future = new CompletableFuture<>();

  SingleReplyListener(HostPort address) {
    this.address = address;
  }

  CompletableFuture<Payload> future() {
    return future;
  }

  @Override
  public void onPayload(Payload payload, boolean last) {
    if (payload.isSetFailure()) {
      future.completeExceptionally(
          new ClementinefordException(
              ErrorKind.UNAVAILABLE,
              MESSAGES.format("PEER_REFUSED", address, payload.getFailure().getMessage())));
    } else if (last) {
      future.complete(payload);
    }
  }

  @Override
  public void onFailure(ExchangeFailure failure) {
    ErrorKind kind =
        failure.isCertainlyNotReceived() ? ErrorKind.UNAVAILABLE : ErrorKind.OUTCOME_UNKNOWN;
    future.completeExceptionally(
        new ClementinefordException(kind, MESSAGES.format("PEER_LOST", address)));
  }
}
