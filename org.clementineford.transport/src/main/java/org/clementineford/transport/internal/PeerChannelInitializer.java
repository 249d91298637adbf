package org.clementineford.transport.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import java.util.function.Supplier;
import org.clementineford.transport.LinkShaping;

/** Adds the channel handlers of a connection between peers. */
public final class PeerChannelInitializer extends ChannelInitializer<Channel> {
  private final LinkShaping shaping;
  private final Supplier<ConnectionHandler> handlerFactory;

  /**
   * Creates an initializer.
   *
   * @param shaping adds handlers ahead of the frame codec
   * @param handlerFactory creates the handler of each connection
   */
  public PeerChannelInitializer(LinkShaping shaping, Supplier<ConnectionHandler> handlerFactory) {
    this.shaping = shaping;
    this.handlerFactory = handlerFactory;
  }

  @Override
  protected void initChannel(Channel channel) {
    shaping.shape(channel.pipeline());
    channel.pipeline().addLast(new FrameCodec(), handlerFactory.get());
  }
}
