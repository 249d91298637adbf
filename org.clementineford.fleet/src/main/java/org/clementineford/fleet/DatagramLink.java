package org.clementineford.fleet;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.wire.FleetDatagram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends and receives datagrams. Each datagram is self-contained, since any of them may be lost. */
public final class DatagramLink implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(DatagramLink.class);

  /** Time after which a socket that closed is opened again, in milliseconds. */
  private static final long REOPEN_DELAY_MS = 100;

  private final EventLoopGroup eventLoops;
  private final Bootstrap bootstrap;
  private volatile Channel channel;
  private volatile boolean closed;

  /** Callback for received datagrams. */
  @FunctionalInterface
  public interface Receiver {
    /**
     * Handles a received datagram.
     *
     * @param sender address of the sender
     * @param datagram the datagram
     */
    void onDatagram(HostPort sender, FleetDatagram datagram);
  }

  /**
   * Binds a socket and starts to receive.
   *
   * @param eventLoops event loops that call the receiver
   * @param address local address to bind
   * @param receiver handles received datagrams
   * @throws ClementinefordException if the address cannot be used
   */
  public DatagramLink(EventLoopGroup eventLoops, HostPort address, Receiver receiver)
      throws ClementinefordException {
    this(eventLoops, address, receiver, ByteBufAllocator.DEFAULT);
  }

  DatagramLink(
      EventLoopGroup eventLoops, HostPort address, Receiver receiver, ByteBufAllocator allocator)
      throws ClementinefordException {
    this.eventLoops = eventLoops;
    this.bootstrap =
        new Bootstrap()
            .group(eventLoops)
            .channel(NioDatagramChannel.class)
            .option(ChannelOption.ALLOCATOR, allocator)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel opened) {
                    opened.pipeline().addLast(new Decoder(receiver));
                  }
                });
    ChannelFuture bound = bootstrap.bind(address.toSocketAddress()).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new ClementinefordException(
          ErrorKind.LOCAL_RESOURCE,
          "cannot receive datagrams at " + address + "; free the port or set another",
          bound.cause());
    }
    use(bound.channel());
  }

  private void use(Channel opened) {
    channel = opened;
    if (closed) {
      opened.close();
    }
    SocketAddress address = opened.localAddress();
    opened.closeFuture().addListener(done -> reopenLater(address));
  }

  /**
   * Opens the socket again unless it was to be closed. Netty closes it on any failure to read that
   * is not an exception of the socket, such as an error for lack of memory.
   */
  private void reopenLater(SocketAddress address) {
    if (closed || eventLoops.isShuttingDown()) {
      return;
    }
    LOG.atWarn().addKeyValue("address", address).log("datagram socket closed; opening it again");
    eventLoops.schedule(() -> reopen(address), REOPEN_DELAY_MS, TimeUnit.MILLISECONDS);
  }

  private void reopen(SocketAddress address) {
    if (closed) {
      return;
    }
    bootstrap
        .bind(address)
        .addListener(
            (ChannelFuture bound) -> {
              if (bound.isSuccess()) {
                use(bound.channel());
              } else {
                reopenLater(address);
              }
            });
  }

  HostPort address() {
    InetSocketAddress local = (InetSocketAddress) channel.localAddress();
    return new HostPort(local.getAddress().getHostAddress(), local.getPort());
  }

  /**
   * Sends a datagram without waiting for the result.
   *
   * @param receiver address to send to
   * @param datagram the datagram
   */
  public void send(HostPort receiver, FleetDatagram datagram) {
    channel.writeAndFlush(
        new DatagramPacket(
            Unpooled.wrappedBuffer(ThriftCodec.encode(datagram)), receiver.toSocketAddress()));
  }

  @Override
  public void close() {
    closed = true;
    channel.close();
  }

  private static final class Decoder extends SimpleChannelInboundHandler<DatagramPacket> {
    private final Receiver receiver;

    Decoder(Receiver receiver) {
      this.receiver = receiver;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      HostPort sender =
          new HostPort(packet.sender().getAddress().getHostAddress(), packet.sender().getPort());
      try {
        receiver.onDatagram(
            sender,
            ThriftCodec.decode(new FleetDatagram(), ByteBufUtil.getBytes(packet.content())));
      } catch (ClementinefordException | RuntimeException e) {
        LOG.atWarn().addKeyValue("sender", sender).log("cannot process a datagram; dropped it", e);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // A datagram sent to a stopped process is reported as an error on this socket (ICMP).
      LOG.debug("error on the datagram socket; a peer may have stopped", cause);
    }
  }
}
