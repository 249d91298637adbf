package org.clementineford.gateway.internal;

import io.netty.buffer.ByteBufUtil;
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
  private final Consumer<CallerExchange> requests;
  private final NanoClock clock;
  private final ArrayDeque<CallerExchange> queue = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private CallerExchange current;
  private long activeAt;
  private boolean closing;

  CallerConnection(CallerListener listener, Consumer<CallerExchange> requests, NanoClock clock) {
    this.listener = listener;
    this.requests = requests;
    this.clock = clock;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    this.context = context;
    activeAt = clock.nanoTime();
    listener.opened(this);
    context.fireChannelActive();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    activeAt = clock.nanoTime();
    if (queue.size() >= MAX_PIPELINED_REQUESTS) {
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
            !malformed && HttpUtil.isKeepAlive(request));
    if (malformed) {
      exchange.respond(BAD_REQUEST, EmptyHttpHeaders.INSTANCE, new byte[0]);
      return;
    }
    queue.add(exchange);
    next();
  }

  private void next() {
    if (current == null && !queue.isEmpty() && !closing) {
      current = queue.poll();
      requests.accept(current);
    }
  }

  void ended(CallerExchange exchange, boolean close) {
    activeAt = clock.nanoTime();
    closing |= close;
    if (exchange == current) {
      current = null;
      context.executor().execute(this::next);
    }
  }

  boolean isClosing() {
    return closing || listener.isStopping();
  }

  /** Returns the time since the last activity, in nanoseconds; 0 during a request. */
  long idleNanos() {
    return current != null ? 0 : clock.nanoTime() - activeAt;
  }

  void close() {
    context.close();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (current != null && context.channel().isWritable()) {
      current.writable();
    }
    context.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    listener.closed(this);
    queue.clear();
    if (current != null) {
      current.gone();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOG.debug(
        "closing the connection of {} after an error", context.channel().remoteAddress(), cause);
    context.close();
  }
}
