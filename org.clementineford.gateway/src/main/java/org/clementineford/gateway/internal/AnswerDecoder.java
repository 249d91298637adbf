package org.clementineford.gateway.internal;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes the answers of an endpoint; an answer to HEAD states a length but has no body. */
final class AnswerDecoder extends HttpResponseDecoder {
  private boolean headRequested;

  /** Notes the method of the request whose answer comes next. */
  void expectAnswerTo(HttpMethod method) {
    headRequested = method.equals(HttpMethod.HEAD);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return headRequested || super.isContentAlwaysEmpty(message);
  }
}
