package org.clementineford.transport;

import io.netty.channel.ChannelPipeline;

/** Adds handlers that limit or disturb a connection, for links with a set bandwidth. */
@FunctionalInterface
public interface LinkShaping {
  /** Leaves connections as they are. */
  LinkShaping NONE = pipeline -> {};

  /**
   * Called for each new connection, before the other handlers are added.
   *
   * @param pipeline pipeline of the connection
   */
  void shape(ChannelPipeline pipeline);
}
