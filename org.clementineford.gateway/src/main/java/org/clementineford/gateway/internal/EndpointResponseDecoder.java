package org.clementineford.gateway.internal;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses of an endpoint. A response to HEAD may have a Content-Length but has no
 * body.
 */
final class EndpointResponseDecoder extends HttpResponseDecoder {
  private boolean headRequested;

  /** Sets the method of the request that the next response belongs to. */
  void expectResponseTo(HttpMethod method) {
    headRequested = method.equals(HttpMethod.HEAD);
  }

  /** Returns whether bytes were received that belong to no message decoded so far. */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return headRequested || super.isContentAlwaysEmpty(message);
  }
}
