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

/** State of one request sent by {@link HttpClient}. */
final class HttpClientCall implements HttpCall {
  private final HttpRequest request;
  private final HostPort address;
  private final long idleTimeoutMs;
  private final HttpResponseListener listener;
  private final Consumer<Channel> returnToPool;
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
      Consumer<Channel> returnToPool) {
    this.request = request;
    this.address = address;
    this.idleTimeoutMs = idleTimeoutMs;
    this.listener = listener;
    this.returnToPool = returnToPool;
  }

  void start(Channel connected) {
    synchronized (this) {
      if (ended) {
        returnToPool.accept(connected);
        return;
      }
      channel = connected;
    }
    if (!connected.isActive()) {
      fail(ExchangeFailure.NEVER_WRITTEN, "connection closed before the request was written");
      return;
    }
    DefaultFullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method()),
            request.target(),
            Unpooled.wrappedBuffer(request.body()));
    message.headers().set(HttpHeaderNames.HOST, address.toString());
    request.headers().forEach(message.headers()::set);
    message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    HttpClientConnection connection = connected.pipeline().get(HttpClientConnection.class);
    connection.setCall(this, connected.writeAndFlush(message));
    recordActivity();
    scheduleIdleCheck(TimeUnit.MILLISECONDS.toNanos(idleTimeoutMs));
  }

  private void recordActivity() {
    lastActivityNanos = channel.eventLoop().ticker().nanoTime();
  }

  // Each call has a single timer, which is set again for the remaining time when it expires.
  // Rescheduling it for every part of a stream would cost more than handling the part.
  private void scheduleIdleCheck(long delayNanos) {
    idleCheck = channel.eventLoop().schedule(this::checkIdle, delayNanos, TimeUnit.NANOSECONDS);
  }

  private void checkIdle() {
    long idleNanos = channel.eventLoop().ticker().nanoTime() - lastActivityNanos;
    long remainingNanos = TimeUnit.MILLISECONDS.toNanos(idleTimeoutMs) - idleNanos;
    if (remainingNanos > 0) {
      scheduleIdleCheck(remainingNanos);
      return;
    }
    if (isPaused()) {
      scheduleIdleCheck(TimeUnit.MILLISECONDS.toNanos(idleTimeoutMs));
      return;
    }
    fail(ExchangeFailure.UNKNOWN, "no data received for " + idleTimeoutMs + " ms");
    channel.close();
  }

  private synchronized boolean isPaused() {
    return paused && !ended;
  }

  void handleHead(HttpResponse response) {
    recordActivity();
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    response.headers().forEach(header -> headers.put(header.getKey(), header.getValue()));
    if (!isEnded()) {
      listener.onHead(response.status().code(), headers);
    }
  }

  void handleBody(byte[] bytes) {
    recordActivity();
    if (!isEnded()) {
      listener.onBody(bytes);
    }
  }

  void handleEnd(Channel connection, boolean keepAlive) {
    idleCheck.cancel(false);
    synchronized (this) {
      if (ended) {
        connection.close();
        return;
      }
      ended = true;
      connection.config().setAutoRead(true);
    }
    String connectionHeader = request.header(HttpHeaderNames.CONNECTION.toString());
    if (keepAlive && !HttpHeaderValues.CLOSE.contentEqualsIgnoreCase(connectionHeader)) {
      returnToPool.accept(connection);
    } else {
      connection.close();
    }
    listener.onEnd();
  }

  void handleConnectionLost() {
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
