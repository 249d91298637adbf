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
 * on which a request timed out, was cancelled or failed is closed and not reused. After a call
 * without any part of a response, idle connections to the address are closed too, since they may
 * have become unresponsive at the same time.
 */
public final class HttpClient implements AutoCloseable {
  private static final MessageCatalog MESSAGES = MessageCatalog.of(PeerNetwork.class);
  private static final int CONNECT_TIMEOUT_MS = 1000;

  private final EventLoopGroup eventLoops;
  private final LinkShaping shaping;
  private final Map<HostPort, ArrayDeque<Channel>> idleConnections = new ConcurrentHashMap<>();
  private volatile boolean closed;

  /**
   * Creates a client.
   *
   * @param eventLoops event loops of the connections; the caller shuts them down
   * @param shaping adds handlers to each connection
   */
  public HttpClient(EventLoopGroup eventLoops, LinkShaping shaping) {
    this.eventLoops = eventLoops;
    this.shaping = shaping;
  }

  /**
   * Sends a request and passes the response to a listener in parts. Bounds the overhead of the
   * response but not its body, so the listener cancels a body that is too long.
   *
   * @param address address of the server
   * @param request the request
   * @param idleTimeoutMs time without received data after which the request fails, in milliseconds
   * @param listener receives the response
   * @return the request in progress
   */
  public HttpCall send(
      HostPort address, HttpRequest request, long idleTimeoutMs, HttpResponseListener listener) {
    HttpClientCall call =
        new HttpClientCall(
            request, address, idleTimeoutMs, listener, channel -> returnToPool(address, channel));
    Channel pooled = pollIdleConnection(address);
    if (pooled != null) {
      pooled.eventLoop().execute(() -> call.start(pooled));
      return call;
    }
    EventLoop loop = eventLoops.next();
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                shaping.shape(channel.pipeline());
                InputEnd inputEnd = new InputEnd();
                UnsolicitedInput unsolicited = new UnsolicitedInput();
                ResponseOverhead overhead = new ResponseOverhead();
                channel
                    .pipeline()
                    .addLast(
                        inputEnd,
                        unsolicited,
                        overhead,
                        new HttpClientCodec(),
                        new HttpClientConnection(inputEnd, unsolicited, overhead));
              }
            })
        .connect(address.toSocketAddress())
        .addListener(
            (io.netty.channel.ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                call.start(connected.channel());
              } else {
                call.fail(ExchangeFailure.NEVER_WRITTEN, connected.cause().getMessage());
              }
            });
    return call;
  }

  /**
   * Sends a request and collects the complete response. The call fails if the response is not
   * complete within the timeout.
   *
   * @param address address of the server
   * @param request the request
   * @param timeoutMs maximum time until the response is complete, in milliseconds
   * @return future of the response; fails with a {@link PlatformException}, which has the kind
   *     {@code UNAVAILABLE} if it is certain that the server did not receive the request, else
   *     {@code OUTCOME_UNKNOWN}
   */
  public CompletableFuture<HttpResponse> call(
      HostPort address, HttpRequest request, long timeoutMs) {
    return call(address, request, ResponseBounds.within(timeoutMs));
  }

  /**
   * Sends a request and collects the complete response.
   *
   * @param address address of the server
   * @param request the request
   * @param bounds bounds beyond which the call fails
   * @return future of the response; fails like that of {@link #call(HostPort, HttpRequest, long)}.
   *     Cancelling the future closes the connection.
   */
  public CompletableFuture<HttpResponse> call(
      HostPort address, HttpRequest request, ResponseBounds bounds) {
    ResponseCollector collector =
        new ResponseCollector(address, bounds.bodyBytes(), () -> closeIdleConnections(address));
    HttpCall call = send(address, request, bounds.idleMs(), collector);
    var deadline =
        eventLoops.schedule(
            () ->
                collector.onFailure(
                    ExchangeFailure.UNKNOWN, "timed out after " + bounds.totalMs() + " ms"),
            bounds.totalMs(),
            TimeUnit.MILLISECONDS);
    collector.future.whenComplete(
        (response, failure) -> {
          deadline.cancel(false);
          if (failure != null) {
            call.cancel();
          }
        });
    return collector.future;
  }

  private void closeIdleConnections(HostPort address) {
    ArrayDeque<Channel> connections = idleConnections.get(address);
    if (connections == null) {
      return;
    }
    synchronized (connections) {
      connections.forEach(Channel::close);
      connections.clear();
    }
  }

  private Channel pollIdleConnection(HostPort address) {
    ArrayDeque<Channel> connections = idleConnections.get(address);
    if (connections == null) {
      return null;
    }
    synchronized (connections) {
      Channel channel = connections.pollLast();
      while (channel != null && !channel.isActive()) {
        channel = connections.pollLast();
      }
      return channel;
    }
  }

  private void returnToPool(HostPort address, Channel channel) {
    if (closed) {
      channel.close();
      return;
    }
    ArrayDeque<Channel> connections =
        idleConnections.computeIfAbsent(address, key -> new ArrayDeque<>());
    synchronized (connections) {
      connections.addLast(channel);
    }
  }

  @Override
  public void close() {
    closed = true;
    idleConnections.keySet().forEach(this::closeIdleConnections);
  }

  private static final class ResponseCollector implements HttpResponseListener {
    private final HostPort address;
    private final int maxBodyBytes;
    private final Runnable onSilence;
    private final CompletableFuture<HttpResponse> future = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private Map<String, String> headers = Map.of();

    ResponseCollector(HostPort address, int maxBodyBytes, Runnable onSilence) {
      this.address = address;
      this.maxBodyBytes = maxBodyBytes;
      this.onSilence = onSilence;
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
      this.status = status;
      this.headers = headers;
    }

    @Override
    public void onBody(byte[] bytes) {
      if (body.size() + bytes.length > maxBodyBytes) {
        onFailure(ExchangeFailure.UNKNOWN, "more than " + maxBodyBytes + " bytes");
        return;
      }
      body.writeBytes(bytes);
    }

    @Override
    public void onEnd() {
      future.complete(new HttpResponse(status, headers, body.toByteArray()));
    }

    @Override
    public void onFailure(ExchangeFailure failure, String cause) {
      if (status == 0 && !future.isDone()) {
        // A caller that is told of the failure may send again at once.
        onSilence.run();
      }
      ErrorKind kind =
          failure.isCertainlyNotReceived() ? ErrorKind.UNAVAILABLE : ErrorKind.OUTCOME_UNKNOWN;
      future.completeExceptionally(
          new PlatformException(kind, MESSAGES.format("NO_ANSWER", address, cause)));
    }
  }
}
