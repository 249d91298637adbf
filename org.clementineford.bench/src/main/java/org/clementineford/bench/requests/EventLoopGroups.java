package org.clementineford.bench.requests;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/** Creates and stops event loop groups; each part of a measurement has its own. */
final class EventLoopGroups {
  private EventLoopGroups() {}

  static EventLoopGroup create(String name, int threads) {
    return new MultiThreadIoEventLoopGroup(
        threads, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
  }

  static void stop(EventLoopGroup loops) {
    loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
  }
}
