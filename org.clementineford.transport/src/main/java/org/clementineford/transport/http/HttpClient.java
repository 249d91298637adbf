package org.clementineford.transport.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.MessageCatalog;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.PlatformException;
import org.clementineford.transport.ExchangeFailure;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.PeerNetwork;

/**
 * HTTP/1.1 client that keeps idle connections for later requests to the same address. A connection
 * on which a request timed out, was cancelled or failed is closed and never used again.
 */
public final class HttpClient implements AutoCloseable {
  private static final MessageCatalog MESSAGES = MessageCatalog.of(PeerNetwork.class);
  private static final int CONNECT_TIMEOUT_MS = 1000;

  private final EventLoopGroup eventLoops;
  private final LinkShaping shaping;
  private final Map<HostPort, ArrayDeque<Channel>> idle = new ConcurrentHashMap<>();
  private volatile boolean closed;

  /**
   * Creates a client.
   *
   * @param eventLoops threads of the connections; the caller shuts them down
   * @param shaping limits of the link
   */
  public HttpClient(EventLoopGroup eventLoops, LinkShaping shaping) {
    this.eventLoops = eventLoops;
    this.shaping = shaping;
  }

  /**
   * Sends a request.
   *
   * @param address address of the server
   * @param request the request
   * @param idleTimeoutMs the request fails if nothing arrives for this long, in milliseconds
   * @param listener receives the response
   * @return the request in progress
   */
  public HttpCall send(
      HostPort address, HttpRequest request, long idleTimeoutMs, HttpResponseListener listener) {
    HttpClientCall call =
        new HttpClientCall(
            request, address, idleTimeoutMs, listener, channel -> keep(address, channel));
    Channel pooled = takeIdle(address);
    if (pooled != null) {
      pooled.eventLoop().execute(() -> call.begin(pooled));
      return call;
    }
    EventLoop loop = eventLoops.next();
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                shaping.shape(channel.pipeline());
                channel.pipeline().addLast(new HttpClientCodec(), new HttpClientConnection());
              }
            })
        .connect(address.toSocketAddress())
        .addListener(
            (io.netty.channel.ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                call.begin(connected.channel());
              } else {
                call.fail(ExchangeFailure.NEVER_WRITTEN, connected.cause().getMessage());
              }
            });
    return call;
  }

  /**
   * Sends a request and collects the whole response within a time.
   *
   * @param address address of the server
   * @param request the request
   * @param timeoutMs longest time for the whole call, in milliseconds
   * @return the response; fails with {@link PlatformException}, kind {@code UNAVAILABLE} if the
   *     server certainly did not get the request, else {@code OUTCOME_UNKNOWN}
   */
  public CompletableFuture<HttpResponse> call(
      HostPort address, HttpRequest request, long timeoutMs) {
    Collector collector = new Collector(address);
    collect(address, request, timeoutMs, collector);
    var deadline =
        eventLoops.schedule(
            () -> collector.onFailure(ExchangeFailure.UNKNOWN, "no answer in " + timeoutMs + " ms"),
            timeoutMs,
            TimeUnit.MILLISECONDS);
    collector.future.whenComplete((response, failure) -> deadline.cancel(false));
    return collector.future;
  }

  /**
   * Sends a request and collects a response that may take long as a whole.
   *
   * @param address address of the server
   * @param request the request
   * @param idleTimeoutMs the call fails if nothing arrives for this long, in milliseconds
   * @return the response; fails as that of {@link #call}. Cancelling it closes the connection.
   */
  public CompletableFuture<HttpResponse> collect(
      HostPort address, HttpRequest request, long idleTimeoutMs) {
    Collector collector = new Collector(address);
    collect(address, request, idleTimeoutMs, collector);
    return collector.future;
  }

  private void collect(
      HostPort address, HttpRequest request, long idleTimeoutMs, Collector collector) {
    HttpCall call = send(address, request, idleTimeoutMs, collector);
    collector.future.whenComplete(
        (response, failure) -> {
          if (failure != null) {
            call.cancel();
          }
        });
  }

  private Channel takeIdle(HostPort address) {
    ArrayDeque<Channel> channels = idle.get(address);
    if (channels == null) {
      return null;
    }
    synchronized (channels) {
      Channel channel = channels.pollLast();
      while (channel != null && !channel.isActive()) {
        channel = channels.pollLast();
      }
      return channel;
    }
  }

  private void keep(HostPort address, Channel channel) {
    if (closed) {
      channel.close();
      return;
    }
    ArrayDeque<Channel> channels = idle.computeIfAbsent(address, key -> new ArrayDeque<>());
    synchronized (channels) {
      channels.addLast(channel);
    }
  }

  @Override
  public void close() {
    closed = true;
    for (ArrayDeque<Channel> channels : idle.values()) {
      synchronized (channels) {
        channels.forEach(Channel::close);
        channels.clear();
      }
    }
  }

  private static final class Collector implements HttpResponseListener {
    private final HostPort address;
    private final CompletableFuture<HttpResponse> future = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private Map<String, String> headers = Map.of();

    Collector(HostPort address) {
      this.address = address;
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
      this.status = status;
      this.headers = headers;
    }

    @Override
    public void onBody(byte[] bytes) {
      body.writeBytes(bytes);
    }

    @Override
    public void onEnd() {
      future.complete(new HttpResponse(status, headers, body.toByteArray()));
    }

    @Override
    public void onFailure(ExchangeFailure failure, String cause) {
      ErrorKind kind =
          failure.provesNotReceived() ? ErrorKind.UNAVAILABLE : ErrorKind.OUTCOME_UNKNOWN;
      future.completeExceptionally(
          new PlatformException(kind, MESSAGES.format("NO_ANSWER", address, cause)));
    }
  }
}
