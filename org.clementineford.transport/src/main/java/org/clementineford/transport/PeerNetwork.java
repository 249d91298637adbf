package org.clementineford.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.agrona.concurrent.NanoClock;
import org.agrona.concurrent.SystemEpochClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.MessageCatalog;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.timeline.HybridLogicalClock;
import org.clementineford.transport.internal.ConnectionHandler;
import org.clementineford.transport.internal.PeerChannelInitializer;
import org.clementineford.transport.internal.PeerConnection;
import org.clementineford.wire.Payload;
import org.clementineford.wire.VmIdentity;

/**
 * Listener for, and connections to, the other processes of this project.
 *
 * <p>There is one connection for each address. It is opened by the first exchange, carries
 * heartbeats, and is replaced after it was lost or became silent.
 */
public final class PeerNetwork implements AutoCloseable {
  private static final MessageCatalog MESSAGES = MessageCatalog.of(PeerNetwork.class);

  private final EventLoopGroup eventLoops;
  private final PeerTiming timing;
  private final NanoClock clock;
  private final HybridLogicalClock hybridClock;
  private final LinkShaping shaping;
  private final Map<HostPort, PeerConnection> connections = new ConcurrentHashMap<>();
  private final ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private volatile VmIdentity self;
  private volatile ExchangeHandler handler =
      (opening, exchange) -> exchange.finish(Payloads.failure("no-handler", "not started"));
  private Channel listener;

  /**
   * Creates a network without a listener whose timeline clock follows the system's wall clock.
   *
   * @param eventLoops threads of the connections; the caller shuts them down
   * @param self identity to state to peers
   * @param timing heartbeat times
   * @param clock monotonic clock
   * @param shaping limits of the link
   */
  public PeerNetwork(
      EventLoopGroup eventLoops,
      VmIdentity self,
      PeerTiming timing,
      NanoClock clock,
      LinkShaping shaping) {
    this(
        eventLoops,
        self,
        timing,
        clock,
        new HybridLogicalClock(SystemEpochClock.INSTANCE),
        shaping);
  }

  /**
   * Creates a network without a listener.
   *
   * @param eventLoops threads of the connections; the caller shuts them down
   * @param self identity to state to peers
   * @param timing heartbeat times
   * @param clock monotonic clock
   * @param hybridClock clock of the timeline; frames carry its readings
   * @param shaping limits of the link
   */
  public PeerNetwork(
      EventLoopGroup eventLoops,
      VmIdentity self,
      PeerTiming timing,
      NanoClock clock,
      HybridLogicalClock hybridClock,
      LinkShaping shaping) {
    this.eventLoops = eventLoops;
    this.self = self;
    this.timing = timing;
    this.clock = clock;
    this.hybridClock = hybridClock;
    this.shaping = shaping;
  }

  /**
   * Sets the handler of exchanges that peers open.
   *
   * @param handler the handler
   */
  public void setHandler(ExchangeHandler handler) {
    this.handler = handler;
  }

  /**
   * Starts to accept connections.
   *
   * @param address where to listen; port 0 lets the system choose
   * @return the address in use; it is also stated to peers from now on
   * @throws ClementinefordException if the address cannot be used
   */
  public HostPort listen(HostPort address) throws ClementinefordException {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new PeerChannelInitializer(shaping, () -> newHandler(false, () -> {})))
            .option(ChannelOption.SO_REUSEADDR, true);
    bootstrap.handler(
        new io.netty.channel.ChannelInboundHandlerAdapter() {
          @Override
          public void channelRead(io.netty.channel.ChannelHandlerContext context, Object message) {
            accepted.add((Channel) message);
            context.fireChannelRead(message);
          }
        });
    ChannelFuture bound = bootstrap.bind(address.toSocketAddress()).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new ClementinefordException(
          ErrorKind.LOCAL_RESOURCE,
          MESSAGES.format("LISTEN_FAILED", address, bound.cause().getMessage()),
          bound.cause());
    }
    listener = bound.channel();
    int port = ((InetSocketAddress) listener.localAddress()).getPort();
    HostPort actual = new HostPort(address.host(), port);
    self = self.deepCopy().setAddress(actual.toString());
    return actual;
  }

  /**
   * Opens an exchange.
   *
   * @param address listener of the peer
   * @param opening the first payload
   * @param listener receives the replies
   * @return the exchange
   */
  public Exchange open(HostPort address, Payload opening, ExchangeListener listener) {
    return open(address, peer -> opening, listener);
  }

  /**
   * Opens an exchange whose first payload depends on what the peer said last.
   *
   * @param address listener of the peer
   * @param opening makes the first payload right before it is written
   * @param listener receives the replies
   * @return the exchange
   */
  public Exchange open(
      HostPort address, Function<PeerInfo, Payload> opening, ExchangeListener listener) {
    return connection(address).open(opening, listener);
  }

  /**
   * Sends a payload and waits for a single reply.
   *
   * @param address listener of the peer
   * @param request the payload
   * @return the last payload of the reply; fails with {@code ClementinefordException}
   */
  public CompletableFuture<Payload> call(HostPort address, Payload request) {
    SingleReply reply = new SingleReply(address);
    open(address, request, reply);
    return reply.future();
  }

  /**
   * Returns what is known about a peer, and connects to it if there is no connection.
   *
   * @param address listener of the peer
   * @return identity and last tick; the identity is null until the peer's hello arrived
   */
  public PeerInfo peer(HostPort address) {
    return connection(address).peer();
  }

  /**
   * Closes the connection to a peer if no exchange is open on it. The next exchange opens a new
   * one. Each open connection costs heartbeats in both directions every second.
   *
   * @param address listener of the peer
   */
  public void release(HostPort address) {
    PeerConnection connection = connections.get(address);
    if (connection != null) {
      connection.closeIfIdle();
    }
  }

  /**
   * Returns the identity that this process states to its peers.
   *
   * @return the identity
   */
  public VmIdentity self() {
    return self;
  }

  private PeerConnection connection(HostPort address) {
    PeerConnection existing = connections.get(address);
    if (existing != null && !existing.isLost()) {
      return existing;
    }
    return connections.compute(
        address, (key, current) -> current == null || current.isLost() ? connect(key) : current);
  }

  private PeerConnection connect(HostPort address) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(eventLoops)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timing.connectTimeoutMs());
    return new PeerConnection(
        bootstrap,
        address,
        shaping,
        closed -> newHandler(true, closed),
        () -> eventLoops.execute(this::removeLostConnections));
  }

  private void removeLostConnections() {
    connections.values().removeIf(PeerConnection::isLost);
  }

  private ConnectionHandler newHandler(boolean connecting, Runnable closed) {
    return new ConnectionHandler(
        self,
        connecting,
        (opening, exchange) -> handler.onOpen(opening, exchange),
        timing,
        clock,
        hybridClock,
        closed);
  }

  @Override
  public void close() {
    if (listener != null) {
      listener.close().awaitUninterruptibly();
    }
    accepted.close();
    connections.values().forEach(PeerConnection::close);
  }
}
