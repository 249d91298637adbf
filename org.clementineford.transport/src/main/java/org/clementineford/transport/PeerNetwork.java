package org.clementineford.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.DuplexChannel;
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
import org.clementineford.transport.internal.ListeningSocket;
import org.clementineford.transport.internal.PeerChannelInitializer;
import org.clementineford.transport.internal.PeerConnection;
import org.clementineford.wire.Payload;
import org.clementineford.wire.VmIdentity;

/**
 * Accepts connections from, and opens connections to, other clementineford processes.
 *
 * <p>There is one outgoing connection per address. It is opened by the first exchange, carries
 * heartbeats, and is replaced after it was lost or was closed because no frames arrived.
 */
public final class PeerNetwork implements AutoCloseable {
  private static final MessageCatalog MESSAGES = MessageCatalog.of(PeerNetwork.class);

  private final EventLoopGroup eventLoops;
  private final PeerTiming timing;
  private final NanoClock clock;
  private final HybridLogicalClock hybridClock;
  private final LinkShaping shaping;
  private final Map<HostPort, PeerConnection> connections = new ConcurrentHashMap<>();
  private final ChannelGroup acceptedChannels =
      new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private volatile VmIdentity self;
  private volatile ExchangeHandler handler =
      (firstPayload, exchange) ->
          exchange.finish(
              Payloads.failure("no-handler", "process accepts no exchanges yet; retry later"));
  private Channel serverChannel;

  /**
   * Creates a network that does not listen yet and whose hybrid clock follows the system's wall
   * clock.
   *
   * @param eventLoops event loops of the connections; the caller shuts them down
   * @param self identity to send to peers
   * @param timing timeouts and heartbeat interval
   * @param clock monotonic clock
   * @param shaping adds handlers to each connection
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
   * Creates a network that does not listen yet.
   *
   * @param eventLoops event loops of the connections; the caller shuts them down
   * @param self identity to send to peers
   * @param timing timeouts and heartbeat interval
   * @param clock monotonic clock
   * @param hybridClock clock that timestamps the timeline; frames carry its readings
   * @param shaping adds handlers to each connection
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
   * Sets the handler of exchanges opened by peers.
   *
   * @param handler the handler
   */
  public void setHandler(ExchangeHandler handler) {
    this.handler = handler;
  }

  /**
   * Starts to accept connections.
   *
   * @param address address to listen on; with port 0 the system chooses the port
   * @return the actual address, which is sent to peers as part of the identity from now on
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
            acceptedChannels.add((Channel) message);
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
    serverChannel = bound.channel();
    int port = ((InetSocketAddress) serverChannel.localAddress()).getPort();
    HostPort actual = new HostPort(address.host(), port);
    self = self.deepCopy().setAddress(actual.toString());
    return actual;
  }

  /**
   * Opens an exchange.
   *
   * @param address address on which the peer listens
   * @param firstPayload the first payload
   * @param listener receives the replies
   * @return the exchange
   */
  public Exchange open(HostPort address, Payload firstPayload, ExchangeListener listener) {
    return open(address, peer -> firstPayload, listener);
  }

  /**
   * Opens an exchange whose first payload depends on the information last received from the peer.
   *
   * @param address address on which the peer listens
   * @param firstPayload creates the first payload immediately before it is written
   * @param listener receives the replies
   * @return the exchange
   */
  public Exchange open(
      HostPort address, Function<PeerInfo, Payload> firstPayload, ExchangeListener listener) {
    return connectionTo(address).open(firstPayload, listener);
  }

  /**
   * Sends a payload and returns a future of the single reply.
   *
   * @param address address on which the peer listens
   * @param request the payload
   * @return future of the last payload of the reply; fails with {@link ClementinefordException}
   */
  public CompletableFuture<Payload> call(HostPort address, Payload request) {
    SingleReplyListener reply = new SingleReplyListener(address);
    open(address, request, reply);
    return reply.future();
  }

  /**
   * Returns the information received from a peer. Connects to the peer if there is no connection.
   *
   * @param address address on which the peer listens
   * @return identity and last tick; the identity is null until the peer's HELLO frame has arrived
   */
  public PeerInfo peer(HostPort address) {
    return connectionTo(address).peer();
  }

  /**
   * Closes the connection to a peer if no exchange is open on it. The next exchange opens a new
   * connection. Each open connection costs a heartbeat in both directions every second.
   *
   * @param address address on which the peer listens
   */
  public void closeIfIdle(HostPort address) {
    PeerConnection connection = connections.get(address);
    if (connection != null) {
      connection.closeIfIdle();
    }
  }

  /**
   * Returns the identity that this process sends to its peers.
   *
   * @return the identity
   */
  public VmIdentity self() {
    return self;
  }

  private PeerConnection connectionTo(HostPort address) {
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
        onClosed -> newHandler(true, onClosed),
        () -> eventLoops.execute(this::removeLostConnections));
  }

  private void removeLostConnections() {
    connections.values().removeIf(PeerConnection::isLost);
  }

  private ConnectionHandler newHandler(boolean connecting, Runnable onClosed) {
    return new ConnectionHandler(
        self,
        connecting,
        (firstPayload, exchange) -> handler.onOpen(firstPayload, exchange),
        timing,
        clock,
        hybridClock,
        onClosed);
  }

  /**
   * Ends each accepted connection after its pending frames were written, waits for the peers to
   * close their sides, and closes everything else.
   *
   * @param timeoutMs maximum time to wait for peers that read slowly, in milliseconds
   */
  public void closeAfterWrites(long timeoutMs) {
    if (serverChannel != null) {
      ListeningSocket.close(serverChannel);
    }
    for (Channel channel : acceptedChannels) {
      // A close with unread input would reset the connection, and the peer would lose the rest.
      channel
          .writeAndFlush(Unpooled.EMPTY_BUFFER)
          .addListener(written -> ((DuplexChannel) channel).shutdownOutput());
    }
    acceptedChannels.newCloseFuture().awaitUninterruptibly(timeoutMs);
    close();
  }

  @Override
  public void close() {
    if (serverChannel != null) {
      ListeningSocket.close(serverChannel);
    }
    acceptedChannels.close();
    connections.values().forEach(PeerConnection::close);
  }
}
