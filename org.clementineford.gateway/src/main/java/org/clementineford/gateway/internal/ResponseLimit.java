package org.clementineford.gateway.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;

/**
 * Bounds the bytes that a connection to an endpoint receives and that were not passed on yet. A
 * faulty endpoint may send without end, in a head, in a body or inside an event.
 */
final class ResponseLimit extends ChannelInboundHandlerAdapter {
  /** Largest response or event, in bytes; the default limit of requests, as none is configured. */
  private static final long MAX_RESPONSE_BYTES = 4L << 20;

  private final Total total;
  private long pendingBytes;

  ResponseLimit(Total total) {
    this.total = total;
  }

  /** Called when what was received has been passed on or is no longer needed. */
  void passedOn() {
    total.bytes -= pendingBytes;
    pendingBytes = 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    long received = ((ByteBuf) message).readableBytes();
    pendingBytes += received;
    total.bytes += received;
    if (pendingBytes > MAX_RESPONSE_BYTES || total.bytes > Total.MAX_BYTES) {
      ((ByteBuf) message).release();
      context.fireExceptionCaught(
          new TooLongFrameException(pendingBytes + " bytes without a complete response or event"));
      return;
    }
    context.fireChannelRead(message);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    passedOn();
    context.fireChannelInactive();
  }

  /** Bytes of all connections of this VM that were not passed on yet. Not thread-safe. */
  static final class Total {
    /** Part of the heap of an entry VM, 160 MB, that responses may take, in bytes. */
    private static final long MAX_BYTES = 32L << 20;

    private long bytes;
  }
}
