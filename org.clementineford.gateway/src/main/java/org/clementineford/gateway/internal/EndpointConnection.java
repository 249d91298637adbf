package org.clementineford.gateway.internal;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.clementineford.gateway.EndpointResponseHead;
import org.clementineford.gateway.RequestProtocol;
import org.clementineford.serving.routing.AttemptOutcome;
import org.clementineford.transport.http.InputEnd;
import org.clementineford.transport.http.UnsolicitedInput;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A connection to one endpoint. Carries one request at a time. */
final class EndpointConnection extends ChannelInboundHandlerAdapter {
  private static final Logger LOG = LoggerFactory.getLogger(EndpointConnection.class);
  private static final String KEEP_ALIVE = "keep-alive";
  private static final String TIMEOUT_PARAMETER = "timeout=";

  /**
   * Longest idle time of a connection whose endpoint sends no keep-alive timeout, in milliseconds.
   * The header has a resolution of one second, so endpoints with a shorter timeout do not send it.
   */
  private static final long DEFAULT_IDLE_LIMIT_MS = 300;

  /**
   * Time before the end of the endpoint's keep-alive timeout in which the connection is not used,
   * in milliseconds.
   */
  private static final long IDLE_MARGIN_MS = 400;

  private final RequestProtocol protocol;
  private final NanoClock clock;
  private final EndpointConnectionPool.IdleConnections idleConnections;
  private final EndpointResponseDecoder decoder;
  private final ResponseLimit limit;
  private final InputEnd inputEnd;
  private final UnsolicitedInput unsolicitedInput;
  private Channel channel;
  private ChannelFuture written;
  private EndpointResponseListener listener;
  private boolean usedBefore;
  private boolean skippingResponse;
  private boolean headAccepted;
  private boolean reusable;
  private boolean awaitingWrite;
  private String failureCause = "connection closed";
  private long idleLimitMs = DEFAULT_IDLE_LIMIT_MS;
  private long idleSince;

  EndpointConnection(
      RequestProtocol protocol,
      NanoClock clock,
      EndpointConnectionPool.IdleConnections idleConnections,
      EndpointResponseDecoder decoder,
      ResponseLimit limit,
      InputEnd inputEnd,
      UnsolicitedInput unsolicitedInput) {
    this.protocol = protocol;
    this.clock = clock;
    this.idleConnections = idleConnections;
    this.decoder = decoder;
    this.limit = limit;
    this.inputEnd = inputEnd;
    this.unsolicitedInput = unsolicitedInput;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  /** Writes a request, unless the connection or the need for a response has ended. */
  void send(FullHttpRequest request, EndpointResponseListener listener) {
    if (listener.isEnded() || !channel.isActive()) {
      request.release();
      channel.close();
      listener.onFailure(AttemptOutcome.NOT_CONNECTED, "connection closed before the request");
      return;
    }
    if (!listener.isPermitted()) {
      request.release();
      channel.close();
      listener.onPermissionLost();
      return;
    }
    this.listener = listener;
    this.skippingResponse = false;
    this.headAccepted = false;
    listener.onConnected(this);
    unsolicitedInput.setResponseExpected(true);
    decoder.expectResponseTo(request.method());
    written = channel.writeAndFlush(request);
    written.addListener(result -> requestWritten(listener, result.cause()));
  }

  private void requestWritten(EndpointResponseListener writer, Throwable failure) {
    if (failure != null && !writer.isEnded()) {
      LOG.atInfo()
          .addKeyValue("request", writer.requestId())
          .addKeyValue("reason", String.valueOf(failure.getMessage()))
          .log("request not written completely to its endpoint");
    }
    if (failure != null && writer == listener && channel.isActive()) {
      // The channel closes by itself if a write fails, but not if the encoder does.
      fail(AttemptOutcome.BROKEN, "request not written: " + failure.getMessage());
      return;
    }
    if (awaitingWrite) {
      awaitingWrite = false;
      if (failure == null) {
        finish();
      } else {
        fail(AttemptOutcome.BROKEN, "connection lost before the request was written");
      }
    }
  }

  /** Keeps a new connection for a request to come. */
  void becomeIdle() {
    idleSince = clock.nanoTime();
    if (channel.isActive()) {
      idleConnections.add(this);
    }
  }

  /** Resets the connection without notifying the request in progress. */
  void cancel() {
    listener = null;
    awaitingWrite = false;
    reset();
  }

  /**
   * Discards bytes that have not arrived yet. A connection that is only closed delivers them later,
   * and the endpoint runs a request whose answer has no reader.
   */
  private void reset() {
    if (channel.isActive()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    channel.close();
  }

  /** Called when the part of a stream that was received has been passed on. */
  void passedOn() {
    limit.passedOn();
  }

  void setReadingPaused(boolean paused) {
    channel.config().setAutoRead(!paused);
  }

  boolean isUsable(boolean repeatable) {
    long idleMs = TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - idleSince);
    // The outcome of a request sent while the endpoint closes the connection is unknown, so a
    // request that must not run twice uses only half of the idle limit.
    long limitMs = repeatable ? idleLimitMs : idleLimitMs / 2;
    return channel.isActive() && idleMs < limitMs;
  }

  void close() {
    channel.close();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      HttpObject object = (HttpObject) message;
      if (object.decoderResult().isFailure()) {
        fail(AttemptOutcome.BROKEN, "malformed response: " + object.decoderResult().cause());
      } else if (listener == null) {
        // The endpoint sent data while no request was in progress.
        idleConnections.remove(this);
        channel.close();
      } else {
        if (object instanceof HttpResponse response) {
          readHead(response);
        }
        if (object instanceof HttpContent content) {
          readBody(content);
        }
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void readHead(HttpResponse response) {
    if (JoinedHeads.isJoined(response)) {
      fail(AttemptOutcome.BROKEN, "bytes of another response before the response");
      return;
    }
    EndpointResponseHead head = protocol.decodeResponse(response);
    boolean otherRequest =
        head.requestId().map(id -> !id.equals(listener.requestId())).orElse(false);
    if (head.status() < 200 || otherRequest) {
      if (otherRequest) {
        LOG.atWarn()
            .addKeyValue("request", listener.requestId())
            .addKeyValue("answered", head.requestId().orElse(""))
            .log("skipped a response that belongs to another request");
      }
      usedBefore |= otherRequest;
      skippingResponse = true;
      return;
    }
    if (head.requestId().isEmpty() && usedBefore) {
      // It may be a late copy of an earlier answer.
      fail(AttemptOutcome.BROKEN, "answer without a request ID on a connection used before");
      return;
    }
    reusable =
        HttpUtil.isKeepAlive(response)
            && (HttpUtil.isTransferEncodingChunked(response)
                || HttpUtil.isContentLengthSet(response));
    readIdleLimit(response.headers());
    headAccepted = true;
    listener.onHead(head, response.headers());
  }

  private void readIdleLimit(HttpHeaders headers) {
    String value = headers.get(KEEP_ALIVE);
    idleLimitMs = DEFAULT_IDLE_LIMIT_MS;
    if (value == null) {
      return;
    }
    for (String part : value.split(",")) {
      String parameter = part.strip();
      if (parameter.startsWith(TIMEOUT_PARAMETER)) {
        try {
          long seconds = Long.parseLong(parameter.substring(TIMEOUT_PARAMETER.length()));
          idleLimitMs = Math.max(DEFAULT_IDLE_LIMIT_MS, seconds * 1000 - IDLE_MARGIN_MS);
        } catch (NumberFormatException e) {
          LOG.debug("cannot parse the keep-alive timeout {}; ignoring it", parameter);
        }
      }
    }
  }

  private void readBody(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (skippingResponse) {
      skippingResponse = !last;
      return;
    }
    if (!headAccepted || listener == null) {
      return;
    }
    if (content.content().isReadable()) {
      listener.onBody(ByteBufUtil.getBytes(content.content()));
    }
    if (last && listener != null) {
      if (!inputEnd.completesMessage()) {
        fail(AttemptOutcome.BROKEN, failureCause);
      } else if (inputEnd.isOrderly() && !written.isDone()) {
        // A crash of the endpoint may end its output first and reset what is written then.
        awaitingWrite = true;
      } else {
        finish();
      }
    }
  }

  private void finish() {
    final EndpointResponseListener finishedListener = listener;
    listener = null;
    usedBefore = true;
    limit.passedOn();
    unsolicitedInput.setResponseExpected(false);
    if (!reusable || inputEnd.isOrderly() || decoder.hasUndecodedBytes()) {
      channel.close();
    } else if (written.isDone()) {
      becomeIdle();
    } else {
      // The endpoint reads the rest of this request before any other one.
      idleConnections.addWhenWritten(this, written, idleLimitMs);
    }
    finishedListener.onEnd();
  }

  private void fail(AttemptOutcome outcome, String cause) {
    final EndpointResponseListener failedListener = listener;
    listener = null;
    awaitingWrite = false;
    idleConnections.remove(this);
    reset();
    if (failedListener != null) {
      failedListener.onFailure(outcome, cause);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    failureCause = String.valueOf(cause.getMessage());
    reset();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event == ChannelInputShutdownEvent.INSTANCE && !awaitingWrite) {
      channel.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail(AttemptOutcome.BROKEN, failureCause);
  }
}
