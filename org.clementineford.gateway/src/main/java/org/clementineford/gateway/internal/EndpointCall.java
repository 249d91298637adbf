package org.clementineford.gateway.internal;

import io.netty.handler.codec.http.HttpHeaders;
import org.clementineford.gateway.AnswerHead;
import org.clementineford.serving.routing.AttemptOutcome;

/** Receives the events of one request sent over an {@link EndpointConnection}. */
interface EndpointCall {
  /** Returns the ID of the request. Responses with a different request ID are skipped. */
  String requestId();

  /**
   * Called when a connection is established and the request can be written.
   *
   * @return false to close the connection without writing the request
   */
  boolean connected(EndpointConnection connection);

  /** Called when the head of the response has arrived. */
  void head(AnswerHead head, HttpHeaders headers);

  /** Called for each part of the body of the response. */
  void body(byte[] bytes);

  /** Called when the response is complete. No other method is called afterwards. */
  void end();

  /** Called when the response cannot be completed. No other method is called afterwards. */
  void failed(AttemptOutcome outcome, String cause);
}
