package org.clementineford.fleet;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.wire.FleetDatagram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends and receives datagrams. Each datagram is self-contained, since any of them may be lost. */
public final class DatagramLink implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(DatagramLink.class);

  private final Channel channel;

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
    ChannelFuture bound =
        new Bootstrap()
            .group(eventLoops)
            .channel(NioDatagramChannel.class)
            .handler(new Decoder(receiver))
            .bind(address.toSocketAddress())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new ClementinefordException(
          ErrorKind.LOCAL_RESOURCE,
          "cannot receive datagrams at " + address + "; free the port or set another",
          bound.cause());
    }
    channel = bound.channel();
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
