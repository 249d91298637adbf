package org.clementineford.transport.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import java.util.function.Supplier;
import org.clementineford.transport.LinkShaping;

/** Sets up the handlers of a peer connection. */
public final class PeerChannelInitializer extends ChannelInitializer<Channel> {
  private final LinkShaping shaping;
  private final Supplier<ConnectionHandler> handlers;

  /**
   * Creates an initializer.
   *
   * @param shaping limits of the link
   * @param handlers makes the state of each connection
   */
  public PeerChannelInitializer(LinkShaping shaping, Supplier<ConnectionHandler> handlers) {
    this.shaping = shaping;
    this.handlers = handlers;
  }

  @Override
  protected void initChannel(Channel channel) {
    shaping.shape(channel.pipeline());
    channel.pipeline().addLast(new FrameCodec(), handlers.get());
  }
}
