package org.clementineford.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Bounds what it costs to read the requests of a connection, however their senders divide bodies
 * into chunks. Small chunks that arrive together are joined. A request with more overhead than body
 * and a fixed bound ends with a part whose decoder result is a failure, and nothing is read after
 * it.
 */
public final class RequestInput {
  /** Length from which parts of a body are passed on as they are, in bytes. */
  private static final int JOINED_BYTES = 8192;

  private final MessageOverhead overhead = new MessageOverhead();
  private final ReceivedBytes receivedBytes = new ReceivedBytes();
  private final DecodedParts decodedParts = new DecodedParts();
  private boolean failed;

  private RequestInput() {}

  /**
   * Adds a decoder of requests and the handlers around it.
   *
   * @param pipeline pipeline of a new connection; handlers of decoded requests are added after this
   *     call
   * @param codec decoder of the requests
   */
  public static void addTo(ChannelPipeline pipeline, HttpServerCodec codec) {
    RequestInput input = new RequestInput();
    pipeline.addLast(input.receivedBytes, codec, input.decodedParts);
  }

  private final class ReceivedBytes extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (failed) {
        ReferenceCountUtil.release(message);
        context.channel().config().setAutoRead(false);
        return;
      }
      overhead.addReceived(((ByteBuf) message).readableBytes());
      context.fireChannelRead(message);
      if (overhead.isExceeded()) {
        failed = true;
        decodedParts.fail();
      }
    }
  }

  private final class DecodedParts extends ChannelInboundHandlerAdapter {
    private ChannelHandlerContext context;
    private ByteBuf joined;

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
      this.context = context;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (!(message instanceof HttpContent part)) {
        context.fireChannelRead(message);
        return;
      }
      int bytes = part.content().readableBytes();
      overhead.addBody(bytes);
      if (part instanceof LastHttpContent) {
        overhead.startMessage();
      } else if (bytes < JOINED_BYTES && part.decoderResult().isSuccess()) {
        join(part);
        return;
      }
      passOnJoined();
      context.fireChannelRead(part);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      // A limit of the body may be passed already.
      passOnJoined();
      context.fireChannelReadComplete();
    }

    private void join(HttpContent part) {
      if (joined == null) {
        joined = context.alloc().buffer(JOINED_BYTES);
      }
      joined.writeBytes(part.content());
      part.release();
      if (joined.readableBytes() >= JOINED_BYTES) {
        passOnJoined();
      }
    }

    private void passOnJoined() {
      if (joined != null) {
        HttpContent part = new DefaultHttpContent(joined);
        joined = null;
        context.fireChannelRead(part);
      }
    }

    void fail() {
      passOnJoined();
      LastHttpContent part = new DefaultLastHttpContent();
      part.setDecoderResult(DecoderResult.failure(overhead.failure()));
      context.fireChannelRead(part);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
      if (joined != null) {
        joined.release();
        joined = null;
      }
    }
  }
}
