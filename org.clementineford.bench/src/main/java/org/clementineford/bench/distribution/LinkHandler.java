package org.clementineford.bench.distribution;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;

/**
 * Delays what a place sends on one connection until it has passed all links on its way.
 *
 * <p>Times on the links are computed, not measured, so late timers do not add up. Netty's own
 * traffic shaping was ruled out because it limits one end only and works in steps of 10 ms.
 */
final class LinkHandler extends ChannelDuplexHandler {
  /** Messages up to this length do not wait on an idle connection. */
  private static final int SMALL_BYTES = 1024;

  private static final int HIGH_WATER_BYTES = 64 << 10;

  private final LinkMap links;
  private final LinkMap.Place self;
  private final NanoClock clock;
  private final Disturbance disturbance;
  private int queuedMessages;
  private long queuedBytes;

  LinkHandler(LinkMap links, LinkMap.Place self, NanoClock clock, Disturbance disturbance) {
    this.links = links;
    this.self = self;
    this.clock = clock;
    this.disturbance = disturbance;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    Channel channel = context.channel();
    if (channel.parent() == null) {
      links.connected(port(channel.localAddress()), port(channel.remoteAddress()), self);
    }
    context.fireChannelActive();
  }

  private LinkMap.Place other(Channel channel) {
    if (channel.remoteAddress() == null) {
      return null;
    }
    return links.other(
        channel.parent() != null, port(channel.localAddress()), port(channel.remoteAddress()));
  }

  private static int port(SocketAddress address) {
    return ((InetSocketAddress) address).getPort();
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    LinkMap.Place peer = other(context.channel());
    if (!(message instanceof ByteBuf bytes) || peer == null) {
      context.write(message, promise);
      return;
    }
    if (links.isStalled(self, peer)) {
      ReferenceCountUtil.release(message);
      return;
    }
    int length = bytes.readableBytes();
    List<Link> path = links.path(self, peer);
    if (length <= SMALL_BYTES && queuedMessages == 0) {
      path.forEach(link -> link.send(0, length));
      context.writeAndFlush(message, promise);
      return;
    }
    if (length > SMALL_BYTES) {
      disturbance.disturb(bytes);
    }
    queuedMessages++;
    queuedBytes += length;
    updateWritability(context);
    pass(new Passage(context, bytes, promise, path, peer), 0, clock.nanoTime());
  }

  private void pass(Passage passage, int hop, long arrivalNanos) {
    if (hop == passage.path.size()) {
      deliver(passage);
      return;
    }
    long departure = passage.path.get(hop).send(arrivalNanos, passage.bytes.readableBytes());
    passage
        .context
        .executor()
        .schedule(
            () -> pass(passage, hop + 1, departure),
            Math.max(0, departure - clock.nanoTime()),
            TimeUnit.NANOSECONDS);
  }

  private void deliver(Passage passage) {
    queuedMessages--;
    queuedBytes -= passage.bytes.readableBytes();
    if (links.isStalled(self, passage.peer)) {
      passage.bytes.release();
    } else {
      passage.context.writeAndFlush(passage.bytes, passage.promise);
    }
    updateWritability(passage.context);
  }

  private void updateWritability(ChannelHandlerContext context) {
    if (context.channel().isActive()) {
      context
          .channel()
          .unsafe()
          .outboundBuffer()
          .setUserDefinedWritability(1, queuedBytes < HIGH_WATER_BYTES);
    }
  }

  private record Passage(
      ChannelHandlerContext context,
      ByteBuf bytes,
      ChannelPromise promise,
      List<Link> path,
      LinkMap.Place peer) {}

  /** Corrupts a share of the long messages. */
  static final class Disturbance {
    private final double share;
    private final SplittableRandom random;
    private boolean enabled;
    private long corrupted;

    Disturbance(double share, long seed) {
      this.share = share;
      this.random = new SplittableRandom(seed);
    }

    synchronized void enable() {
      enabled = true;
    }

    synchronized void disturb(ByteBuf bytes) {
      if (enabled && random.nextDouble() < share) {
        int middle = bytes.readerIndex() + bytes.readableBytes() / 2;
        bytes.setByte(middle, ~bytes.getByte(middle));
        corrupted++;
      }
    }

    synchronized long corrupted() {
      return corrupted;
    }
  }
}
