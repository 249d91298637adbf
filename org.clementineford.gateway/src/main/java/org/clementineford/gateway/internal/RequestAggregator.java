package org.clementineford.gateway.internal;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;

/**
 * Reads whole requests, and writes nothing between the answers to the requests before them. A
 * request whose body is too large is passed on without it, with a {@link
 * TooLongHttpContentException} as its result; the rest of its body is discarded.
 */
final class RequestAggregator extends HttpObjectAggregator {
  private final CallerConnection connection;

  RequestAggregator(int maxBodyBytes, CallerConnection connection) {
    super(maxBodyBytes);
    this.connection = connection;
  }

  @Override
  protected Object newContinueResponse(
      HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
    if (!HttpUtil.is100ContinueExpected(start)
        || isContentLengthInvalid(start, maxContentLength)
        || connection.isBusy()) {
      return null;
    }
    return super.newContinueResponse(start, maxContentLength, pipeline);
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    HttpRequest request = (HttpRequest) oversized;
    DefaultFullHttpRequest refused =
        new DefaultFullHttpRequest(
            request.protocolVersion(),
            request.method(),
            request.uri(),
            Unpooled.EMPTY_BUFFER,
            request.headers(),
            EmptyHttpHeaders.INSTANCE);
    refused.setDecoderResult(
        request.decoderResult().isFailure()
            ? request.decoderResult()
            : DecoderResult.failure(
                new TooLongHttpContentException(
                    "the body has more than " + maxContentLength() + " bytes")));
    // Such callers may leave out the body that they announced, or send one without an end.
    if (oversized instanceof FullHttpMessage || HttpUtil.is100ContinueExpected(oversized)) {
      HttpUtil.setKeepAlive(refused, false);
    }
    context.fireChannelRead(refused);
  }
}
