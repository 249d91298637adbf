package org.clementineford.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A link on loopback: passes connections on to one address and misbehaves on demand. */
final class LinkProxy implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(LinkProxy.class);

  private final HostPort target;
  private final Channel listener;
  private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();
  private volatile LinkFault fault = LinkFault.NONE;

  LinkProxy(EventLoopGroup eventLoops, HostPort address, HostPort target)
      throws ClementinefordException {
    this.target = target;
    ChannelFuture bound =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    new Pair(channel).open();
                  }
                })
            .bind(address.toSocketAddress())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new ClementinefordException(
          ErrorKind.LOCAL_RESOURCE,
          "cannot listen on " + address + "; end the soak that uses it",
          bound.cause());
    }
    listener = bound.channel();
  }

  void setFault(LinkFault newFault) {
    fault = newFault;
    pairs.forEach(Pair::applyFault);
  }

  @Override
  public void close() {
    listener.close().awaitUninterruptibly();
    pairs.forEach(Pair::reset);
  }

  /** A connection on both sides. */
  private final class Pair {
    private final Channel connecting;
    private final Queue<Object> delayedThere = new ArrayDeque<>();
    private final Queue<Object> delayedBack = new ArrayDeque<>();
    private Channel accepting;

    Pair(Channel connecting) {
      this.connecting = connecting;
    }

    void open() {
      connecting.pipeline().addLast(new Forwarder(this, true));
      new Bootstrap()
          .group(connecting.eventLoop())
          .channel(NioSocketChannel.class)
          .option(ChannelOption.TCP_NODELAY, true)
          .option(ChannelOption.AUTO_READ, false)
          .handler(new Forwarder(this, false))
          .connect(target.toSocketAddress())
          .addListener(
              (ChannelFuture connected) -> {
                if (!connected.isSuccess()) {
                  reset();
                  return;
                }
                accepting = connected.channel();
                pairs.add(this);
                applyFault();
              });
    }

    void applyFault() {
      connecting
          .eventLoop()
          .execute(
              () -> {
                if (fault == LinkFault.RESET) {
                  reset();
                } else {
                  connecting.config().setAutoRead(fault.passes(true));
                  accepting.config().setAutoRead(fault.passes(false));
                }
              });
    }

    void reset() {
      pairs.remove(this);
      for (Channel channel : new Channel[] {connecting, accepting}) {
        if (channel != null) {
          // Only its event loop knows whether a channel is still open.
          channel.eventLoop().execute(() -> reset(channel));
        }
      }
    }

    private static void reset(Channel channel) {
      if (channel.isOpen()) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
      }
    }

    void forward(boolean fromConnectingSide, Object bytes) {
      Channel receiver = fromConnectingSide ? accepting : connecting;
      if (receiver == null) {
        ReferenceCountUtil.release(bytes);
        return;
      }
      Queue<Object> delayed = fromConnectingSide ? delayedThere : delayedBack;
      long delayMs = fault.delayMs();
      delayed.add(bytes);
      if (delayMs == 0) {
        passOn(delayed, receiver, delayed.size());
      } else {
        receiver
            .eventLoop()
            .schedule(() -> passOn(delayed, receiver, 1), delayMs, TimeUnit.MILLISECONDS);
      }
    }

    /** Writes the oldest of the held bytes, so that no bytes overtake others. */
    private void passOn(Queue<Object> delayed, Channel receiver, int count) {
      for (int i = 0; i < count && !delayed.isEmpty(); i++) {
        receiver.writeAndFlush(delayed.remove());
      }
    }

    void closed(boolean connectingSide) {
      pairs.remove(this);
      Channel other = connectingSide ? accepting : connecting;
      if (other != null) {
        Queue<Object> delayed = connectingSide ? delayedThere : delayedBack;
        other
            .eventLoop()
            .schedule(
                () -> {
                  passOn(delayed, other, delayed.size());
                  other.close();
                },
                fault.delayMs(),
                TimeUnit.MILLISECONDS);
      }
    }
  }

  private static final class Forwarder extends ChannelInboundHandlerAdapter {
    private final Pair pair;
    private final boolean fromConnectingSide;

    Forwarder(Pair pair, boolean fromConnectingSide) {
      this.pair = pair;
      this.fromConnectingSide = fromConnectingSide;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      pair.forward(fromConnectingSide, message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      pair.closed(fromConnectingSide);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      LOG.debug("connection reset", cause);
      pair.reset();
    }
  }
}
