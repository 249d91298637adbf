package org.clementineford.transport.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes a client connection that receives bytes while no response is expected. Stands before the
 * HTTP decoder, which would keep the beginning of a head and join it with the next one. Not
 * thread-safe.
 */
public final class UnsolicitedInput extends ChannelInboundHandlerAdapter {
  private boolean responseExpected;

  /**
   * Sets whether a response is expected.
   *
   * @param expected true from the write of a request to the end of its response
   */
  public void setResponseExpected(boolean expected) {
    responseExpected = expected;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (responseExpected) {
      context.fireChannelRead(message);
    } else {
      ReferenceCountUtil.release(message);
      context.close();
    }
  }
}
