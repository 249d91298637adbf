package org.clementineford.transport.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.clementineford.kernel.HostPort;
import org.clementineford.transport.ExchangeFailure;

/** State of one request of the client. */
final class HttpClientCall implements HttpCall {
  private final HttpRequest request;
  private final HostPort address;
  private final long idleTimeoutMs;
  private final HttpResponseListener listener;
  private final Consumer<Channel> release;
  private Channel channel;
  private ScheduledFuture<?> idleCheck;
  private long lastActivityNanos;
  private boolean ended;
  private boolean paused;

  HttpClientCall(
      HttpRequest request,
      HostPort address,
      long idleTimeoutMs,
      HttpResponseListener listener,
      Consumer<Channel> release) {
    this.request = request;
    this.address = address;
    this.idleTimeoutMs = idleTimeoutMs;
    this.listener = listener;
    this.release = release;
  }

  void begin(Channel connected) {
    synchronized (this) {
      if (ended) {
        release.accept(connected);
        return;
      }
      channel = connected;
    }
    if (!connected.isActive()) {
      fail(ExchangeFailure.NEVER_WRITTEN, "connection closed before use");
      return;
    }
    connected.pipeline().get(HttpClientConnection.class).use(this);
    DefaultFullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method()),
            request.target(),
            Unpooled.wrappedBuffer(request.body()));
    message.headers().set(HttpHeaderNames.HOST, address.toString());
    request.headers().forEach(message.headers()::set);
    message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    connected.writeAndFlush(message);
    noteActivity();
    checkIdleAfter(TimeUnit.MILLISECONDS.toNanos(idleTimeoutMs));
  }

  private void noteActivity() {
    lastActivityNanos = channel.eventLoop().ticker().nanoTime();
  }

  // One timer for each call, since moving it for every part of a stream would cost more than the
  // part itself.
  private void checkIdleAfter(long delayNanos) {
    idleCheck = channel.eventLoop().schedule(this::checkIdle, delayNanos, TimeUnit.NANOSECONDS);
  }

  private void checkIdle() {
    long idleNanos = channel.eventLoop().ticker().nanoTime() - lastActivityNanos;
    long remainingNanos = TimeUnit.MILLISECONDS.toNanos(idleTimeoutMs) - idleNanos;
    if (remainingNanos > 0) {
      checkIdleAfter(remainingNanos);
      return;
    }
    if (isPaused()) {
      checkIdleAfter(TimeUnit.MILLISECONDS.toNanos(idleTimeoutMs));
      return;
    }
    fail(ExchangeFailure.UNKNOWN, "nothing received for " + idleTimeoutMs + " ms");
    channel.close();
  }

  private synchronized boolean isPaused() {
    return paused && !ended;
  }

  void head(HttpResponse response) {
    noteActivity();
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    response.headers().forEach(header -> headers.put(header.getKey(), header.getValue()));
    if (!isEnded()) {
      listener.onHead(response.status().code(), headers);
    }
  }

  void body(byte[] bytes) {
    noteActivity();
    if (!isEnded()) {
      listener.onBody(bytes);
    }
  }

  void end(Channel connection, boolean keepAlive) {
    idleCheck.cancel(false);
    synchronized (this) {
      if (ended) {
        connection.close();
        return;
      }
      ended = true;
      connection.config().setAutoRead(true);
    }
    String wish = request.header(HttpHeaderNames.CONNECTION.toString());
    if (keepAlive && !HttpHeaderValues.CLOSE.contentEqualsIgnoreCase(wish)) {
      release.accept(connection);
    } else {
      connection.close();
    }
    listener.onEnd();
  }

  void connectionLost() {
    idleCheck.cancel(false);
    fail(ExchangeFailure.UNKNOWN, "connection lost");
  }

  void fail(ExchangeFailure failure, String cause) {
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
    }
    listener.onFailure(failure, cause);
  }

  private synchronized boolean isEnded() {
    return ended;
  }

  @Override
  public synchronized void cancel() {
    if (ended) {
      return;
    }
    ended = true;
    if (channel != null) {
      channel.close();
    }
  }

  @Override
  public synchronized void setReading(boolean reading) {
    paused = !reading;
    if (channel != null && !ended) {
      channel.config().setAutoRead(reading);
    }
  }
}
