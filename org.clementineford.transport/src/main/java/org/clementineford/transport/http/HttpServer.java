package org.clementineford.transport.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
import org.clementineford.transport.internal.ListeningSocket;

/** HTTP/1.1 server based on Netty. */
public final class HttpServer implements AutoCloseable {
  private static final MessageCatalog MESSAGES = MessageCatalog.of(PeerNetwork.class);

  private final Channel serverChannel;
  private final ChannelGroup acceptedChannels;
  private final HostPort address;

  private HttpServer(Channel serverChannel, ChannelGroup acceptedChannels, HostPort address) {
    this.serverChannel = serverChannel;
    this.acceptedChannels = acceptedChannels;
    this.address = address;
  }

  /**
   * Starts a server.
   *
   * @param eventLoops event loops of the connections; the caller shuts them down
   * @param address address to listen on; with port 0 the system chooses the port
   * @param maxBodyBytes maximum length of a request body; a longer one gets a response with status
   *     413
   * @param shaping adds handlers to each connection
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
    ChannelGroup acceptedChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
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
                    acceptedChannels.add(channel);
                    shaping.shape(channel.pipeline());
                    RequestInput.addTo(channel.pipeline(), new HttpServerCodec());
                    channel
                        .pipeline()
                        .addLast(
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
    return new HttpServer(bound.channel(), acceptedChannels, new HostPort(address.host(), port));
  }

  /**
   * Returns the address on which the server listens.
   *
   * @return the address with the actual port
   */
  public HostPort address() {
    return address;
  }

  /** Stops accepting connections; requests in progress continue. */
  public void stopAccepting() {
    ListeningSocket.close(serverChannel);
  }

  /**
   * Stops accepting connections and closes each open connection after the requests that were read
   * have been answered and their bytes were written. Connections still open after the timeout are
   * closed immediately.
   *
   * @param timeoutMs maximum time to wait for handlers and for clients that read slowly, in
   *     milliseconds
   */
  public void closeAfterWrites(long timeoutMs) {
    stopAccepting();
    for (Channel channel : acceptedChannels) {
      channel.pipeline().fireUserEventTriggered(HttpServerConnection.CLOSE_WHEN_ANSWERED);
    }
    acceptedChannels.newCloseFuture().awaitUninterruptibly(timeoutMs);
    acceptedChannels.close().awaitUninterruptibly();
  }

  @Override
  public void close() {
    stopAccepting();
    acceptedChannels.close().awaitUninterruptibly();
  }
}
