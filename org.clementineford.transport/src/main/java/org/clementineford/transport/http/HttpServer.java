package org.clementineford.transport.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.MessageCatalog;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.PeerNetwork;

/** HTTP/1.1 server. */
public final class HttpServer implements AutoCloseable {
  private static final MessageCatalog MESSAGES = MessageCatalog.of(PeerNetwork.class);

  private final Channel listener;
  private final ChannelGroup accepted;
  private final HostPort address;

  private HttpServer(Channel listener, ChannelGroup accepted, HostPort address) {
    this.listener = listener;
    this.accepted = accepted;
    this.address = address;
  }

  /**
   * Starts a server.
   *
   * @param eventLoops threads of the connections; the caller shuts them down
   * @param address where to listen; port 0 lets the system choose
   * @param maxBodyBytes longest request body; a longer one is answered with status 413
   * @param shaping limits of the link
   * @param handler handles the requests
   * @return the server
   * @throws ClementinefordException if the address cannot be used
   */
  public static HttpServer start(
      EventLoopGroup eventLoops,
      HostPort address,
      int maxBodyBytes,
      LinkShaping shaping,
      HttpHandler handler)
      throws ClementinefordException {
    ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, 4096)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accepted.add(channel);
                    shaping.shape(channel.pipeline());
                    channel
                        .pipeline()
                        .addLast(
                            new HttpServerCodec(),
                            new HttpObjectAggregator(maxBodyBytes),
                            new HttpServerConnection(handler));
                  }
                });
    ChannelFuture bound = bootstrap.bind(address.toSocketAddress()).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new ClementinefordException(
          ErrorKind.LOCAL_RESOURCE,
          MESSAGES.format("LISTEN_FAILED", address, bound.cause().getMessage()),
          bound.cause());
    }
    int port = ((InetSocketAddress) bound.channel().localAddress()).getPort();
    return new HttpServer(bound.channel(), accepted, new HostPort(address.host(), port));
  }

  /**
   * Returns the address in use.
   *
   * @return address with the actual port
   */
  public HostPort address() {
    return address;
  }

  /** Stops accepting connections; requests in progress go on. */
  public void stopAccepting() {
    listener.close().awaitUninterruptibly();
  }

  /**
   * Stops accepting connections and closes each open one after its pending bytes were written.
   *
   * @param timeoutMs longest time to wait for callers that read slowly, in milliseconds
   */
  public void closeAfterWrites(long timeoutMs) {
    stopAccepting();
    for (Channel channel : accepted) {
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }
    accepted.newCloseFuture().awaitUninterruptibly(timeoutMs);
    accepted.close().awaitUninterruptibly();
  }

  @Override
  public void close() {
    stopAccepting();
    accepted.close().awaitUninterruptibly();
  }
}
