package org.clementineford.transport.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/** Hands the parts of a response to the call that uses the connection. */
final class HttpClientConnection extends SimpleChannelInboundHandler<HttpObject> {
  private HttpClientCall call;
  private boolean keepAlive;

  void use(HttpClientCall call) {
    this.call = call;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    if (call == null) {
      // Bytes without a request: the connection cannot be trusted with another one.
      context.close();
      return;
    }
    if (message.decoderResult().isFailure()) {
      context.close();
      return;
    }
    if (message instanceof HttpResponse response) {
      keepAlive = HttpUtil.isKeepAlive(response);
      call.head(response);
    }
    if (message instanceof HttpContent content && content.content().isReadable()) {
      call.body(ByteBufUtil.getBytes(content.content()));
    }
    if (message instanceof LastHttpContent) {
      HttpClientCall ended = call;
      call = null;
      ended.end(context.channel(), keepAlive);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (call != null) {
      HttpClientCall broken = call;
      call = null;
      broken.connectionLost();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
