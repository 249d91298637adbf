package org.clementineford.transport.internal;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.timeline.HybridLogicalClock;
import org.clementineford.kernel.timeline.HybridTime;
import org.clementineford.transport.ExchangeFailure;
import org.clementineford.transport.ExchangeHandler;
import org.clementineford.transport.PeerInfo;
import org.clementineford.transport.PeerTiming;
import org.clementineford.wire.Frame;
import org.clementineford.wire.FrameKind;
import org.clementineford.wire.Heartbeat;
import org.clementineford.wire.Hello;
import org.clementineford.wire.Payload;
import org.clementineford.wire.VmIdentity;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Channel handler that keeps the state of one connection between two processes. Exchanges opened by
 * the connecting side have odd numbers, those opened by the accepting side even ones. State is
 * confined to the event loop of the connection.
 */
public final class ConnectionHandler extends SimpleChannelInboundHandler<Frame> {
  private static final Logger LOG = LoggerFactory.getLogger(ConnectionHandler.class);

  private final VmIdentity self;
  private final boolean connecting;
  private final ExchangeHandler handler;
  private final PeerTiming timing;
  private final NanoClock clock;
  private final HybridLogicalClock hybridClock;
  private final Runnable onClosed;
  private final Map<Long, OutgoingExchange> outgoing = new HashMap<>();
  private final Map<Long, IncomingExchangeImpl> incoming = new HashMap<>();
  private ChannelHandlerContext context;
  private long nextExchangeNumber;
  private long lastReceivedNanos;
  private long lastHeartbeatNanos;
  private volatile PeerInfo peer = new PeerInfo(null, 0);

  /**
   * Creates the handler of a new connection.
   *
   * @param self identity of this process
   * @param connecting true if this process opens the connection
   * @param handler handles exchanges opened by the peer
   * @param timing timeouts and heartbeat interval
   * @param clock monotonic clock
   * @param hybridClock clock that timestamps the timeline; frames carry its readings
   * @param onClosed runs once when the connection is closed
   */
  public ConnectionHandler(
      VmIdentity self,
      boolean connecting,
      ExchangeHandler handler,
      PeerTiming timing,
      NanoClock clock,
      HybridLogicalClock hybridClock,
      Runnable onClosed) {
    this.self = self;
    this.connecting = connecting;
    this.handler = handler;
    this.timing = timing;
    this.clock = clock;
    this.hybridClock = hybridClock;
    this.onClosed = onClosed;
    this.nextExchangeNumber = connecting ? 1 : 2;
  }

  /**
   * Returns the information received from the peer.
   *
   * @return identity and last tick of the peer
   */
  public PeerInfo peer() {
    return peer;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    this.context = context;
    lastReceivedNanos = clock.nanoTime();
    lastHeartbeatNanos = lastReceivedNanos;
    write(new Frame(0, FrameKind.HELLO).setPayload(Payload.hello(new Hello(self))));
    checkTimeoutAndSendHeartbeat();
  }

  private void checkTimeoutAndSendHeartbeat() {
    if (!context.channel().isActive()) {
      return;
    }
    long now = clock.nanoTime();
    if (now - lastHeartbeatNanos
        > TimeUnit.MILLISECONDS.toNanos(2 * timing.heartbeatIntervalMs())) {
      // This process was paused, and frames that arrived during the pause may not have been read
      // yet. Restart the timeout instead of closing a connection to a live peer.
      lastReceivedNanos = now;
    }
    lastHeartbeatNanos = now;
    if (now - lastReceivedNanos > TimeUnit.MILLISECONDS.toNanos(timing.heartbeatTimeoutMs())) {
      LOG.warn(
          "closing connection to {}: no frame received for {} ms",
          context.channel().remoteAddress(),
          timing.heartbeatTimeoutMs());
      context.close();
      return;
    }
    long tick = TimeUnit.NANOSECONDS.toMillis(now);
    write(new Frame(0, FrameKind.HEARTBEAT).setPayload(Payload.heartbeat(new Heartbeat(tick))));
    context
        .executor()
        .schedule(
            this::checkTimeoutAndSendHeartbeat,
            timing.heartbeatIntervalMs(),
            TimeUnit.MILLISECONDS);
  }

  void open(OutgoingExchange exchange, Payload firstPayload) {
    long number = nextExchangeNumber;
    nextExchangeNumber += 2;
    exchange.attach(this, number);
    outgoing.put(number, exchange);
    write(new Frame(number, FrameKind.OPEN).setPayload(firstPayload));
  }

  void closeIfIdle() {
    if (context != null && outgoing.isEmpty() && incoming.isEmpty()) {
      context.close();
    }
  }

  void write(Frame frame) {
    if (frame.getKind() != FrameKind.DATA) {
      HybridTime now = hybridClock.now();
      frame.setClockPhysicalMs(now.physicalMs()).setClockLogical(now.logical());
    }
    context.writeAndFlush(frame);
  }

  ChannelHandlerContext context() {
    return context;
  }

  void removeOutgoing(long number) {
    outgoing.remove(number);
  }

  void removeIncoming(long number) {
    incoming.remove(number);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame) {
    lastReceivedNanos = clock.nanoTime();
    if (frame.isSetClockPhysicalMs()) {
      hybridClock.receive(new HybridTime(frame.getClockPhysicalMs(), frame.getClockLogical()));
    }
    switch (frame.getKind()) {
      case HELLO -> peer = new PeerInfo(frame.getPayload().getHello().getSender(), peer.lastTick());
      case HEARTBEAT ->
          peer = new PeerInfo(peer.identity(), frame.getPayload().getHeartbeat().getTick());
      case OPEN -> handleOpen(frame);
      case DATA, LAST -> handlePayload(frame);
      case CANCEL -> {
        IncomingExchangeImpl cancelled = incoming.remove(frame.getExchange());
        if (cancelled != null) {
          cancelled.handleCancel();
        }
      }
      default -> LOG.warn("ignoring frame of unsupported kind {}", frame.getKind());
    }
  }

  private void handleOpen(Frame frame) {
    IncomingExchangeImpl exchange = new IncomingExchangeImpl(this, frame.getExchange());
    incoming.put(frame.getExchange(), exchange);
    handler.onOpen(frame.getPayload(), exchange);
  }

  private void handlePayload(Frame frame) {
    boolean openedByThisProcess = (frame.getExchange() % 2 == 1) == connecting;
    boolean last = frame.getKind() == FrameKind.LAST;
    if (!openedByThisProcess) {
      IncomingExchangeImpl exchange = incoming.get(frame.getExchange());
      if (exchange != null) {
        exchange.handlePayload(frame.getPayload());
      }
      return;
    }
    OutgoingExchange exchange =
        last ? outgoing.remove(frame.getExchange()) : outgoing.get(frame.getExchange());
    if (exchange != null) {
      exchange.handlePayload(frame.getPayload(), last);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (context.channel().isWritable()) {
      List.copyOf(incoming.values()).forEach(IncomingExchangeImpl::handleWritable);
    }
    context.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    final List<OutgoingExchange> interrupted = List.copyOf(outgoing.values());
    outgoing.clear();
    final List<IncomingExchangeImpl> abandoned = List.copyOf(incoming.values());
    incoming.clear();
    onClosed.run();
    interrupted.forEach(exchange -> exchange.fail(ExchangeFailure.UNKNOWN));
    abandoned.forEach(IncomingExchangeImpl::handleCancel);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOG.warn("closing connection to {}: {}", context.channel().remoteAddress(), cause.toString());
    context.close();
  }
}
