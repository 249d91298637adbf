package org.clementineford.transport;

import io.netty.channel.ChannelPipeline;

/**
 * Adds handlers that limit, disturb or count the traffic of a connection, for example to emulate a
 * link of a given bandwidth.
 */
@FunctionalInterface
public interface LinkShaping {
  /** Adds no handlers. */
  LinkShaping NONE = pipeline -> {};

  /**
   * Called for each new connection, before the other handlers are added.
   *
   * @param pipeline channel pipeline of the connection
   */
  void shape(ChannelPipeline pipeline);
}
