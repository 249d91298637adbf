package org.clementineford.gateway.internal;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.agrona.concurrent.NanoClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A caller's connection. Processes pipelined requests one after the other. */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final Logger LOG = LoggerFactory.getLogger(CallerConnection.class);

  /** Waiting requests from which no further input is read until the queue is empty. */
  private static final int MAX_PIPELINED_REQUESTS = 16;

  private static final int BAD_REQUEST = 400;
  private static final int CONTENT_TOO_LARGE = 413;

  /** Ending of a request that is not HTTP. */
  private static final String MALFORMED = "MALFORMED";

  /** Ending of a request whose body is above the limit. */
  private static final String TOO_LARGE = "TOO_LARGE";

  /** Ending of a request whose connection closed during a request before it. */
  private static final String NOT_STARTED = "NOT_STARTED";

  private final CallerListener listener;
  private final Consumer<CallerExchange> requestHandler;
  private final NanoClock clock;
  private final GatewayMetrics metrics;
  private final List<CallerExchange> unwritten = new ArrayList<>();
  private final ArrayDeque<CallerExchange> pipelined = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private CallerExchange current;
  private long lastActivityAt;
  private long promisedIdleNanos;
  private long unwrittenBytes;
  private boolean closing;
  private CallerClose closeReason = CallerClose.BY_CALLER;

  CallerConnection(
      CallerListener listener,
      Consumer<CallerExchange> requestHandler,
      NanoClock clock,
      GatewayMetrics metrics) {
    this.listener = listener;
    this.requestHandler = requestHandler;
    this.clock = clock;
    this.metrics = metrics;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    this.context = context;
    lastActivityAt = clock.nanoTime();
    promisedIdleNanos = listener.idleLimitNanos();
    listener.onOpened(this);
    context.fireChannelActive();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    lastActivityAt = clock.nanoTime();
    metrics.recordRead();
    boolean malformed = request.decoderResult().isFailure() && !isTooLarge(request);
    CallerExchange exchange =
        new CallerExchange(
            this,
            context,
            request,
            ByteBufUtil.getBytes(request.content()),
            !malformed && HttpUtil.isKeepAlive(request),
            lastActivityAt);
    pipelined.add(exchange);
    if (pipelined.size() >= MAX_PIPELINED_REQUESTS) {
      context.channel().config().setAutoRead(false);
    }
    startNext();
  }

  private void refuseMalformed(CallerExchange exchange, Throwable cause) {
    LOG.atInfo()
        .addKeyValue("caller", context.channel().remoteAddress())
        .addKeyValue("reason", cause.getMessage())
        .log("malformed request refused");
    metrics.recordEnd(MALFORMED);
    exchange.respond(BAD_REQUEST, EmptyHttpHeaders.INSTANCE, new byte[0]);
  }

  private void refuseTooLarge(CallerExchange exchange, Throwable cause) {
    LOG.atInfo()
        .addKeyValue("caller", context.channel().remoteAddress())
        .addKeyValue("reason", cause.getMessage())
        .log("too large request refused");
    metrics.recordEnd(TOO_LARGE);
    exchange.respond(CONTENT_TOO_LARGE, EmptyHttpHeaders.INSTANCE, new byte[0]);
  }

  private static boolean isTooLarge(HttpRequest request) {
    return request.decoderResult().cause() instanceof TooLongHttpContentException;
  }

  /** Records that bytes arrived, which may be a part of a request. */
  void onBytes() {
    lastActivityAt = clock.nanoTime();
  }

  private void startNext() {
    if (current == null && !pipelined.isEmpty() && !closing) {
      current = pipelined.poll();
      if (pipelined.isEmpty()) {
        context.channel().config().setAutoRead(true);
      }
      if (isTooLarge(current.head())) {
        refuseTooLarge(current, current.head().decoderResult().cause());
      } else if (current.head().decoderResult().isFailure()) {
        refuseMalformed(current, current.head().decoderResult().cause());
      } else {
        requestHandler.accept(current);
      }
    }
  }

  /**
   * Called when the answer of an exchange was handed to the channel.
   *
   * @param written completes when the whole answer has left this process
   */
  void onExchangeEnded(CallerExchange exchange, ChannelFuture written, boolean close) {
    unwritten.add(exchange);
    written.addListener(
        result -> {
          if (result.isSuccess()) {
            unwritten.remove(exchange);
          }
          lastActivityAt = clock.nanoTime();
          if (!result.isSuccess() && context.channel().isActive()) {
            close(CallerClose.ERROR);
          } else if (close) {
            close(CallerClose.AFTER_ANSWER);
          }
        });
    closing |= close;
    if (exchange == current) {
      current = null;
      context.executor().execute(this::startNext);
    }
  }

  /** Returns whether the connection closes after the answer that is sent next. */
  boolean isClosing() {
    return closing || (listener.isStopping() && pipelined.isEmpty());
  }

  /** Returns whether a request is in progress or waits for its turn, or the connection closes. */
  boolean isBusy() {
    return current != null || !pipelined.isEmpty() || closing;
  }

  /** Returns whether a part of an answer waits for the caller to read. */
  boolean isWriting() {
    return !unwritten.isEmpty();
  }

  /**
   * Returns the configured idle time, in nanoseconds, and keeps it as the one that the caller goes
   * by until its next answer.
   */
  long promiseIdleNanos() {
    promisedIdleNanos = listener.idleLimitNanos();
    return promisedIdleNanos;
  }

  /**
   * Returns the idle time, in nanoseconds, that the caller went by when it got its last answer or
   * connected.
   */
  long promisedIdleNanos() {
    return promisedIdleNanos;
  }

  /**
   * Returns the time since the last activity, in nanoseconds; 0 during a request or while one waits
   * for its turn. While an answer is written, only its progress is an activity.
   */
  long idleNanos() {
    if (current != null || (!pipelined.isEmpty() && !closing)) {
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

  /** Closes the connection. If it is closing for another reason, that one counts. */
  void close(CallerClose reason) {
    if (closeReason == CallerClose.BY_CALLER) {
      closeReason = reason;
    }
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
    metrics.recordClose(closeReason);
    recordUnanswered();
    pipelined.forEach(exchange -> metrics.recordEnd(NOT_STARTED));
    pipelined.clear();
    if (current != null) {
      current.disconnected();
    }
  }

  private void recordUnanswered() {
    List<CallerExchange> unanswered = new ArrayList<>(unwritten);
    if (current != null) {
      unanswered.add(current);
    }
    unanswered.addAll(pipelined);
    if (!unanswered.isEmpty()) {
      metrics.recordUnanswered(closeReason, unanswered.size());
      LOG.atLevel(closeReason.levelIfUnanswered())
          .addKeyValue("reason", closeReason)
          .addKeyValue("requests", listener.requestIds(unanswered))
          .addKeyValue("unwritten", unwritten.size())
          .addKeyValue("notStarted", pipelined.size())
          .log("connection closed with requests that were read and not answered");
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof PrematureChannelClosureException) {
      LOG.debug("{} closed its connection inside a request", context.channel().remoteAddress());
      return;
    }
    if (cause instanceof IOException) {
      LOG.debug("connection of {} lost", context.channel().remoteAddress(), cause);
      close(CallerClose.LOST);
      return;
    }
    LOG.atError()
        .setCause(cause)
        .addKeyValue("caller", context.channel().remoteAddress())
        .addKeyValue(
            "requests", listener.requestIds(current == null ? List.of() : List.of(current)))
        .log("error while handling a request; closing its connection");
    close(CallerClose.ERROR);
  }
}
