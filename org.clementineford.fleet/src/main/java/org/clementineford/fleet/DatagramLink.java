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

/** Sends and receives datagrams. Each is complete in itself, since any may be lost. */
public final class DatagramLink implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(DatagramLink.class);

  private final Channel channel;

  /** Receives datagrams. */
  @FunctionalInterface
  public interface Receiver {
    /**
     * Takes in a datagram.
     *
     * @param sender address that it came from
     * @param datagram the datagram
     */
    void received(HostPort sender, FleetDatagram datagram);
  }

  /**
   * Opens a link.
   *
   * @param eventLoops thread on which datagrams are received
   * @param address where to receive
   * @param receiver takes in datagrams
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
   * Sends a datagram.
   *
   * @param receiver where to
   * @param datagram the datagram
   */
  public void send(HostPort receiver, FleetDatagram datagram) {
    channel.writeAndFlush(
        new DatagramPacket(
            Unpooled.wrappedBuffer(ThriftBytes.encode(datagram)), receiver.toSocketAddress()));
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
        receiver.received(
            sender,
            ThriftBytes.decode(new FleetDatagram(), ByteBufUtil.getBytes(packet.content())));
      } catch (ClementinefordException e) {
        LOG.atWarn().addKeyValue("sender", sender).log("datagram dropped", e);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // A datagram to a stopped process returns as an error on this socket.
      LOG.debug("datagram failed", cause);
    }
  }
}
