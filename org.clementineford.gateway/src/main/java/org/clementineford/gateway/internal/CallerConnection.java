package org.clementineford.gateway.internal;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.agrona.concurrent.NanoClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A caller's connection. Processes pipelined requests one after the other. */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final Logger LOG = LoggerFactory.getLogger(CallerConnection.class);
  private static final int MAX_PIPELINED_REQUESTS = 16;
  private static final int BAD_REQUEST = 400;

  private final CallerListener listener;
  private final Consumer<CallerExchange> requestHandler;
  private final NanoClock clock;
  private final ArrayDeque<CallerExchange> pipelined = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private CallerExchange current;
  private long lastActivityAt;
  private int unwrittenAnswers;
  private long unwrittenBytes;
  private boolean closing;

  CallerConnection(
      CallerListener listener, Consumer<CallerExchange> requestHandler, NanoClock clock) {
    this.listener = listener;
    this.requestHandler = requestHandler;
    this.clock = clock;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    this.context = context;
    lastActivityAt = clock.nanoTime();
    listener.onOpened(this);
    context.fireChannelActive();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    lastActivityAt = clock.nanoTime();
    if (pipelined.size() >= MAX_PIPELINED_REQUESTS) {
      context.close();
      return;
    }
    boolean malformed = request.decoderResult().isFailure();
    CallerExchange exchange =
        new CallerExchange(
            this,
            context,
            request,
            ByteBufUtil.getBytes(request.content()),
            !malformed && HttpUtil.isKeepAlive(request),
            lastActivityAt);
    if (malformed) {
      exchange.respond(BAD_REQUEST, EmptyHttpHeaders.INSTANCE, new byte[0]);
      return;
    }
    pipelined.add(exchange);
    startNext();
  }

  /** Records that bytes arrived, which may be a part of a request. */
  void onBytes() {
    lastActivityAt = clock.nanoTime();
  }

  private void startNext() {
    if (current == null && !pipelined.isEmpty() && !closing) {
      current = pipelined.poll();
      requestHandler.accept(current);
    }
  }

  /**
   * Called when the answer of an exchange was handed to the channel.
   *
   * @param written completes when the whole answer has left this process
   */
  void onExchangeEnded(CallerExchange exchange, ChannelFuture written, boolean close) {
    unwrittenAnswers++;
    written.addListener(
        result -> {
          unwrittenAnswers--;
          lastActivityAt = clock.nanoTime();
        });
    closing |= close;
    if (exchange == current) {
      current = null;
      context.executor().execute(this::startNext);
    }
  }

  boolean isClosing() {
    return closing || listener.isStopping();
  }

  /** Returns whether a part of an answer waits for the caller to read. */
  boolean isWriting() {
    return unwrittenAnswers > 0;
  }

  /**
   * Returns the time since the last activity, in nanoseconds; 0 during a request. While an answer
   * is written, only its progress is an activity.
   */
  long idleNanos() {
    if (current != null) {
      return 0;
    }
    Channel channel = context.channel();
    long bytes = channel.bytesBeforeWritable() - channel.bytesBeforeUnwritable();
    if (bytes != unwrittenBytes) {
      unwrittenBytes = bytes;
      lastActivityAt = clock.nanoTime();
    }
    return clock.nanoTime() - lastActivityAt;
  }

  void close() {
    context.close();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (current != null && context.channel().isWritable()) {
      current.becameWritable();
    }
    context.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    listener.onClosed(this);
    pipelined.clear();
    if (current != null) {
      current.disconnected();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOG.debug(
        "closing the connection of {} after an error", context.channel().remoteAddress(), cause);
    context.close();
  }
}
