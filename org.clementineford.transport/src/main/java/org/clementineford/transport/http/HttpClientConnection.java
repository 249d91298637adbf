package org.clementineford.transport.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/** Passes the parts of a response to the call that is in progress on the connection. */
final class HttpClientConnection extends SimpleChannelInboundHandler<HttpObject> {
  private HttpClientCall call;
  private boolean keepAlive;

  void setCall(HttpClientCall call) {
    this.call = call;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    if (call == null) {
      // The server sent data without a request, so the connection must not be used for another one.
      context.close();
      return;
    }
    if (message.decoderResult().isFailure()) {
      context.close();
      return;
    }
    if (message instanceof HttpResponse response) {
      keepAlive = HttpUtil.isKeepAlive(response);
      call.handleHead(response);
    }
    if (message instanceof HttpContent content && content.content().isReadable()) {
      call.handleBody(ByteBufUtil.getBytes(content.content()));
    }
    if (message instanceof LastHttpContent) {
      HttpClientCall ended = call;
      call = null;
      ended.handleEnd(context.channel(), keepAlive);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (call != null) {
      HttpClientCall interrupted = call;
      call = null;
      interrupted.handleConnectionLost();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
