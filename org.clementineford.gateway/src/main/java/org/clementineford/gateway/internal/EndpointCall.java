package org.clementineford.gateway.internal;

import io.netty.handler.codec.http.HttpHeaders;
import org.clementineford.gateway.AnswerHead;
import org.clementineford.serving.routing.AttemptOutcome;

/** Receives what happens to one request at one endpoint. */
interface EndpointCall {
  /** Identity of the request; responses with another one are skipped. */
  String requestId();

  /**
   * The request can be written.
   *
   * @return false to write nothing and to close the connection
   */
  boolean connected(EndpointConnection connection);

  void head(AnswerHead head, HttpHeaders headers);

  void body(byte[] bytes);

  /** The response is whole. */
  void end();

  /** The response did not become whole. Nothing is called after it. */
  void failed(AttemptOutcome outcome, String cause);
}
