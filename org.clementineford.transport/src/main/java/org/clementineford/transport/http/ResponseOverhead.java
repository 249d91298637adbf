package org.clementineford.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;

/**
 * Bounds the bytes of a response that are not part of its body: heads, lengths and extensions of
 * chunks, trailers. A faulty server may send them without end, and a chunk of one byte costs as
 * much to decode as a large one. Stands before the HTTP decoder. Not thread-safe.
 */
final class ResponseOverhead extends ChannelInboundHandlerAdapter {
  /**
   * Largest overhead in bytes, beside one byte for each byte of the body. A body of 200 KB fits in
   * chunks of one byte, and a body of any length in chunks of six bytes.
   */
  private static final long MAX_BYTES = 1L << 20;

  private boolean bounded;
  private long receivedBytes;
  private long bodyBytes;

  void startResponse() {
    bounded = true;
    receivedBytes = 0;
    bodyBytes = 0;
  }

  void endResponse() {
    bounded = false;
  }

  void addBody(int bytes) {
    bodyBytes += bytes;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    receivedBytes += ((ByteBuf) message).readableBytes();
    context.fireChannelRead(message);
    // The decoder has passed on all bytes of the body and keeps at most a part of a line.
    long overheadBytes = receivedBytes - bodyBytes;
    if (bounded && overheadBytes > MAX_BYTES + bodyBytes) {
      context.fireExceptionCaught(
          new TooLongFrameException(
              receivedBytes + " bytes received for " + bodyBytes + " bytes of a body"));
    }
  }
}
