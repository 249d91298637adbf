package org.clementineford.gateway.internal;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.agrona.concurrent.NanoClock;
import org.clementineford.gateway.RequestProtocol;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.serving.model.CallerLimits;
import org.clementineford.transport.http.RequestInput;

/** Accepts connections of callers and closes idle ones. */
final class CallerListener {
  private static final int MAX_HEADER_BYTES = 65_536;
  private static final int BACKLOG = 4096;

  /**
   * Time beyond the idle timeout after which a connection is closed. Callers reuse a connection for
   * most of the idle timeout, so an earlier close could cross a new request.
   */
  private static final long IDLE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final Supplier<CallerLimits> limits;
  private final RequestProtocol protocol;
  private final GatewayMetrics metrics;
  private final EventLoopInput input;
  private final Set<CallerConnection> connections = new HashSet<>();
  private Channel channel;
  private boolean stopping;

  CallerListener(
      Supplier<CallerLimits> limits,
      RequestProtocol protocol,
      GatewayMetrics metrics,
      EventLoopInput input) {
    this.limits = limits;
    this.protocol = protocol;
    this.metrics = metrics;
    this.input = input;
  }

  /** Starts accepting connections and returns the address in use. */
  HostPort start(
      EventLoopGroup eventLoops,
      HostPort address,
      NanoClock clock,
      Consumer<CallerExchange> requestHandler)
      throws ClementinefordException {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(BACKLOG))
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel accepted) {
                    CallerConnection connection =
                        new CallerConnection(CallerListener.this, requestHandler, clock, metrics);
                    ChannelDuplexHandler activity =
                        new ChannelDuplexHandler() {
                          @Override
                          public void channelRead(ChannelHandlerContext context, Object bytes) {
                            connection.onBytes();
                            context.fireChannelRead(bytes);
                          }

                          @Override
                          public void read(ChannelHandlerContext context) {
                            // The aggregator asks for the rest of a body despite the limit.
                            if (context.channel().config().isAutoRead()) {
                              context.read();
                            }
                          }
                        };
                    RequestBodyLimit bodyLimit = new RequestBodyLimit(limits, connection);
                    accepted.pipeline().addLast(activity);
                    RequestInput.addTo(
                        accepted.pipeline(), new HttpServerCodec(8192, MAX_HEADER_BYTES, 8192));
                    accepted.pipeline().addLast(bodyLimit, bodyLimit.aggregator(), connection);
                  }
                });
    ChannelFuture bound = bootstrap.bind(address.toSocketAddress()).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new ClementinefordException(
          ErrorKind.LOCAL_RESOURCE,
          "cannot listen for callers at " + address + "; free the port or configure another one",
          bound.cause());
    }
    channel = bound.channel();
    return new HostPort(address.host(), ((InetSocketAddress) channel.localAddress()).getPort());
  }

  void onOpened(CallerConnection connection) {
    connections.add(connection);
  }

  void onClosed(CallerConnection connection) {
    connections.remove(connection);
  }

  /** Returns the IDs that callers gave to their requests, for log lines. */
  List<String> requestIds(List<CallerExchange> exchanges) {
    return exchanges.stream().map(this::requestId).toList();
  }

  private String requestId(CallerExchange exchange) {
    try {
      return protocol.decodeRequest(exchange.head()).id();
    } catch (RuntimeException e) {
      return "unknown";
    }
  }

  /** Returns the number of open connections of callers. */
  int openConnections() {
    return connections.size();
  }

  boolean isStopping() {
    return stopping;
  }

  /** Closes each connection after its next response. */
  void beginStop() {
    stopping = true;
  }

  /**
   * Accepts no connections any more, after those that the system has established, since it resets
   * what it has not handed over.
   *
   * @param whenClosed runs on the event loop once the last of them was accepted
   */
  void stopAccepting(Runnable whenClosed) {
    input.runAfterPoll(
        () -> {
          channel.close();
          whenClosed.run();
        });
  }

  /** Closes all connections, because the process ends. */
  void closeAll() {
    List.copyOf(connections).forEach(connection -> connection.close(CallerClose.END_OF_STOP));
  }

  /** Returns the idle time that the configuration sets, in nanoseconds. */
  long idleLimitNanos() {
    return TimeUnit.MILLISECONDS.toNanos(limits.get().idleTimeoutMs());
  }

  /**
   * Closes the connections that have been idle for longer than both the configured timeout and the
   * one that their callers were told.
   */
  void closeIdle() {
    closeAfterPoll(
        connection ->
            connection.idleNanos()
                > Math.max(idleLimitNanos(), connection.promisedIdleNanos()) + IDLE_MARGIN_NANOS,
        CallerClose.IDLE);
  }

  /**
   * Closes the connections that have been idle for longer than a limit and have no answer to write.
   * An answer that its caller reads slowly moves in steps, as the buffers of the system let it.
   */
  void closeIdleWhileStopping(long limitNanos) {
    closeAfterPoll(
        connection -> !connection.isWriting() && connection.idleNanos() > limitNanos,
        CallerClose.IDLE_WHILE_STOPPING);
  }

  /** Closes idle connections, except those whose sockets turn out to hold bytes. */
  private void closeAfterPoll(Predicate<CallerConnection> isIdle, CallerClose reason) {
    List<CallerConnection> idle = connections.stream().filter(isIdle).toList();
    if (!idle.isEmpty()) {
      input.runAfterPoll(
          () -> idle.stream().filter(isIdle).forEach(connection -> connection.close(reason)));
    }
  }
}
