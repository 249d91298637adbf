package org.clementineford.gateway.internal;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.Consumer;
import org.clementineford.gateway.EndpointResponseHead;
import org.clementineford.serving.routing.AttemptOutcome;

/** Passes events on, and ends the request if handling one of them fails unexpectedly. */
final class GuardedResponseListener implements EndpointResponseListener {
  private final EndpointResponseListener listener;
  private final Consumer<Runnable> guard;

  /**
   * Creates a listener.
   *
   * @param guard runs an action, and ends the request if that throws
   */
  GuardedResponseListener(EndpointResponseListener listener, Consumer<Runnable> guard) {
    this.listener = listener;
    this.guard = guard;
  }

  @Override
  public String requestId() {
    return listener.requestId();
  }

  @Override
  public boolean isEnded() {
    return listener.isEnded();
  }

  @Override
  public boolean isPermitted() {
    return listener.isPermitted();
  }

  @Override
  public void onPermissionLost() {
    guard.accept(listener::onPermissionLost);
  }

  @Override
  public void onConnected(EndpointConnection connection) {
    listener.onConnected(connection);
  }

  @Override
  public void onHead(EndpointResponseHead head, HttpHeaders headers) {
    guard.accept(() -> listener.onHead(head, headers));
  }

  @Override
  public void onBody(byte[] bytes) {
    guard.accept(() -> listener.onBody(bytes));
  }

  @Override
  public void onEnd() {
    guard.accept(listener::onEnd);
  }

  @Override
  public void onConnectionFailure(boolean refused, String cause) {
    guard.accept(() -> listener.onConnectionFailure(refused, cause));
  }

  @Override
  public void onFailure(AttemptOutcome outcome, String cause) {
    guard.accept(() -> listener.onFailure(outcome, cause));
  }
}
