package org.clementineford.gateway.internal;

import io.netty.handler.codec.http.HttpHeaders;
import org.clementineford.gateway.EndpointResponseHead;
import org.clementineford.serving.routing.AttemptOutcome;

/** Receives the events of one request sent over an {@link EndpointConnection}. */
interface EndpointResponseListener {
  /** Returns the ID of the request. Responses with a different request ID are skipped. */
  String requestId();

  /** Returns whether the response is no longer wanted, so that the request must not be written. */
  boolean isEnded();

  /** Returns whether the permission on which the request was sent still holds. */
  boolean isPermitted();

  /** Called when the permission ran out before the request was written. */
  void onPermissionLost();

  /** Called before the request is written to a connection. */
  void onConnected(EndpointConnection connection);

  /** Called when the head of the response has arrived. */
  void onHead(EndpointResponseHead head, HttpHeaders headers);

  /** Called for each part of the body of the response. */
  void onBody(byte[] bytes);

  /** Called when the response is complete. No other method is called afterwards. */
  void onEnd();

  /**
   * Called when no connection could be opened. No other method is called afterwards.
   *
   * @param refused true if no process listens at the address of the endpoint
   */
  void onConnectionFailure(boolean refused, String cause);

  /** Called when the response cannot be completed. No other method is called afterwards. */
  void onFailure(AttemptOutcome outcome, String cause);
}
