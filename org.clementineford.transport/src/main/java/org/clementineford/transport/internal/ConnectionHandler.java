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
 * One connection between two processes. Exchanges opened by the connecting side have odd numbers,
 * those opened by the accepting side even ones. State is confined to the connection's event loop.
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
  private long nextExchange;
  private long lastHeardNanos;
  private long lastBeatNanos;
  private volatile PeerInfo peer = new PeerInfo(null, 0);

  /**
   * Creates the state of a connection.
   *
   * @param self identity of this process
   * @param connecting true if this process opened the connection
   * @param handler receives exchanges that the peer opens
   * @param timing heartbeat times
   * @param clock monotonic clock
   * @param hybridClock clock of the timeline, carried by frames
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
    this.nextExchange = connecting ? 1 : 2;
  }

  /**
   * Returns what is known about the peer.
   *
   * @return identity and last tick
   */
  public PeerInfo peer() {
    return peer;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    this.context = context;
    lastHeardNanos = clock.nanoTime();
    lastBeatNanos = lastHeardNanos;
    write(new Frame(0, FrameKind.HELLO).setPayload(Payload.hello(new Hello(self))));
    beat();
  }

  private void beat() {
    if (!context.channel().isActive()) {
      return;
    }
    long now = clock.nanoTime();
    if (now - lastBeatNanos > TimeUnit.MILLISECONDS.toNanos(2 * timing.heartbeatIntervalMs())) {
      // This process was paused. What the peer sent meanwhile is still unread, so silence proves
      // nothing yet.
      lastHeardNanos = now;
    }
    lastBeatNanos = now;
    if (now - lastHeardNanos > TimeUnit.MILLISECONDS.toNanos(timing.heartbeatDeadlineMs())) {
      LOG.warn(
          "closing connection to {}: nothing heard for {} ms",
          context.channel().remoteAddress(),
          timing.heartbeatDeadlineMs());
      context.close();
      return;
    }
    long tick = TimeUnit.NANOSECONDS.toMillis(now);
    write(new Frame(0, FrameKind.HEARTBEAT).setPayload(Payload.heartbeat(new Heartbeat(tick))));
    context.executor().schedule(this::beat, timing.heartbeatIntervalMs(), TimeUnit.MILLISECONDS);
  }

  void open(OutgoingExchange exchange, Payload opening) {
    long number = nextExchange;
    nextExchange += 2;
    exchange.attach(this, number);
    outgoing.put(number, exchange);
    write(new Frame(number, FrameKind.OPEN).setPayload(opening));
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

  void forgetOutgoing(long number) {
    outgoing.remove(number);
  }

  void forgetIncoming(long number) {
    incoming.remove(number);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame) {
    lastHeardNanos = clock.nanoTime();
    if (frame.isSetClockPhysicalMs()) {
      hybridClock.receive(new HybridTime(frame.getClockPhysicalMs(), frame.getClockLogical()));
    }
    switch (frame.getKind()) {
      case HELLO -> peer = new PeerInfo(frame.getPayload().getHello().getSender(), peer.lastTick());
      case HEARTBEAT ->
          peer = new PeerInfo(peer.identity(), frame.getPayload().getHeartbeat().getTick());
      case OPEN -> accept(frame);
      case DATA, LAST -> receive(frame);
      case CANCEL -> {
        IncomingExchangeImpl cancelled = incoming.remove(frame.getExchange());
        if (cancelled != null) {
          cancelled.cancelled();
        }
      }
      default -> LOG.warn("ignoring a frame of unknown kind {}", frame.getKind());
    }
  }

  private void accept(Frame frame) {
    IncomingExchangeImpl exchange = new IncomingExchangeImpl(this, frame.getExchange());
    incoming.put(frame.getExchange(), exchange);
    handler.onOpen(frame.getPayload(), exchange);
  }

  private void receive(Frame frame) {
    boolean openedHere = (frame.getExchange() % 2 == 1) == connecting;
    boolean last = frame.getKind() == FrameKind.LAST;
    if (!openedHere) {
      IncomingExchangeImpl exchange = incoming.get(frame.getExchange());
      if (exchange != null) {
        exchange.received(frame.getPayload());
      }
      return;
    }
    OutgoingExchange exchange =
        last ? outgoing.remove(frame.getExchange()) : outgoing.get(frame.getExchange());
    if (exchange != null) {
      exchange.received(frame.getPayload(), last);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (context.channel().isWritable()) {
      List.copyOf(incoming.values()).forEach(IncomingExchangeImpl::writable);
    }
    context.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    final List<OutgoingExchange> broken = List.copyOf(outgoing.values());
    outgoing.clear();
    final List<IncomingExchangeImpl> abandoned = List.copyOf(incoming.values());
    incoming.clear();
    onClosed.run();
    broken.forEach(exchange -> exchange.failed(ExchangeFailure.UNKNOWN));
    abandoned.forEach(IncomingExchangeImpl::cancelled);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOG.warn("closing connection to {}: {}", context.channel().remoteAddress(), cause.toString());
    context.close();
  }
}
