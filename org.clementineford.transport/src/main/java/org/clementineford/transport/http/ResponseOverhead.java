package org.clementineford.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Bounds the overhead of a response. Stands before the HTTP decoder. Not thread-safe. */
final class ResponseOverhead extends ChannelInboundHandlerAdapter {
  private final MessageOverhead overhead = new MessageOverhead();
  private boolean bounded;

  void startResponse() {
    bounded = true;
    overhead.startMessage();
  }

  void endResponse() {
    bounded = false;
  }

  void addBody(int bytes) {
    overhead.addBody(bytes);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    overhead.addReceived(((ByteBuf) message).readableBytes());
    context.fireChannelRead(message);
    if (bounded && overhead.isExceeded()) {
      context.fireExceptionCaught(overhead.failure());
    }
  }
}
