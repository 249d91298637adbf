package org.clementineford.gateway.internal;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.TimeUnit;

/** A caller's request and the means to respond to it. */
final class CallerExchange {
  private static final String KEEP_ALIVE = "Keep-Alive";
  private static final String TIMEOUT_PARAMETER = "timeout=";

  private final CallerConnection connection;
  private final ChannelHandlerContext context;
  private final HttpRequest head;
  private final byte[] body;
  private final boolean keepAlive;
  private final long receivedAt;
  private boolean responseStarted;
  private boolean closeAnnounced;
  private boolean ended;
  private Runnable onDisconnect = () -> {};
  private Runnable onWritable = () -> {};

  CallerExchange(
      CallerConnection connection,
      ChannelHandlerContext context,
      HttpRequest head,
      byte[] body,
      boolean keepAlive,
      long receivedAt) {
    this.connection = connection;
    this.context = context;
    this.head = head;
    this.body = body;
    this.keepAlive = keepAlive;
    this.receivedAt = receivedAt;
  }

  HttpRequest head() {
    return head;
  }

  byte[] body() {
    return body;
  }

  /** Returns the time at which the request was read, on the monotonic clock in nanoseconds. */
  long receivedAt() {
    return receivedAt;
  }

  void onDisconnect(Runnable action) {
    onDisconnect = action;
  }

  void onWritable(Runnable action) {
    onWritable = action;
  }

  boolean isResponseStarted() {
    return responseStarted;
  }

  boolean isWritable() {
    return context.channel().isWritable();
  }

  /** Sends a complete response, unless the exchange has ended. */
  void respond(int status, HttpHeaders headers, byte[] bytes) {
    if (ended) {
      return;
    }
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(bytes));
    response.headers().add(headers);
    if (!response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
    }
    final boolean close = setConnectionHeader(response);
    ended = true;
    end(context.writeAndFlush(response), close);
  }

  /** Sends the head of a response whose body follows in chunks. */
  void startResponse(int status, HttpHeaders headers) {
    DefaultHttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    response.headers().add(headers);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    closeAnnounced = setConnectionHeader(response);
    responseStarted = true;
    context.write(response);
  }

  private boolean setConnectionHeader(HttpResponse response) {
    boolean close = !keepAlive || connection.isClosing();
    if (close) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else {
      long seconds = TimeUnit.NANOSECONDS.toSeconds(connection.promiseIdleNanos());
      if (seconds > 0) {
        response.headers().set(KEEP_ALIVE, TIMEOUT_PARAMETER + seconds);
      }
    }
    return close;
  }

  void write(byte[] bytes) {
    if (!ended) {
      context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    }
  }

  void finishResponse() {
    if (!ended) {
      ended = true;
      end(context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), closeAnnounced);
    }
  }

  /** Closes the connection, so that the caller detects that the response is incomplete. */
  void abort() {
    if (!ended) {
      ended = true;
      connection.close(CallerClose.BROKEN_OFF);
    }
  }

  private void end(ChannelFuture written, boolean close) {
    connection.onExchangeEnded(this, written, close);
  }

  void disconnected() {
    if (!ended) {
      ended = true;
      onDisconnect.run();
    }
  }

  void becameWritable() {
    onWritable.run();
  }
}
