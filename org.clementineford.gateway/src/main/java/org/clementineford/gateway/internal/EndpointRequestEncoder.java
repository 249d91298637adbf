package org.clementineford.gateway.internal;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.clementineford.gateway.EndpointRequestContext;
import org.clementineford.gateway.RequestProtocol;

/** Encodes the request of a caller for one endpoint. */
final class EndpointRequestEncoder {
  private EndpointRequestEncoder() {}

  /**
   * Returns the request with the same method, path and body, and with the headers of an attempt.
   */
  static FullHttpRequest encode(
      CallerExchange exchange, RequestProtocol protocol, EndpointRequestContext context) {
    FullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            exchange.head().method(),
            exchange.head().uri(),
            Unpooled.wrappedBuffer(exchange.body()));
    HttpHeaders headers = HopByHopHeaders.copyWithout(exchange.head().headers());
    protocol.rewriteHeaders(headers, context);
    message.headers().add(headers);
    if (exchange.body().length > 0 || !exchange.head().method().equals(HttpMethod.GET)) {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, exchange.body().length);
    }
    return message;
  }
}
