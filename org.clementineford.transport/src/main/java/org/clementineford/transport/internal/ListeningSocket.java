package org.clementineford.transport.internal;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.netty.util.concurrent.Promise;
import java.util.concurrent.TimeUnit;

/** Closes listening sockets. */
public final class ListeningSocket {
  /** Longest wait for the poll, which does not come if the event loop stops, in milliseconds. */
  private static final long MAX_WAIT_MS = 1_000;

  private ListeningSocket() {}

  /**
   * Closes a listening socket and waits until its address is free. The system closes a socket only
   * when the selector that it was registered with polls again, which may be after the channel
   * counts as closed.
   *
   * @param channel the listening channel; not called on its event loop
   */
  public static void close(Channel channel) {
    channel.close().awaitUninterruptibly();
    EventLoop eventLoop = channel.eventLoop();
    if (!eventLoop.isShuttingDown()) {
      Promise<Void> polled = GlobalEventExecutor.INSTANCE.newPromise();
      // The event loop collects a timer that a task sets only after its next poll.
      eventLoop.execute(
          () -> eventLoop.schedule(() -> polled.setSuccess(null), 0, TimeUnit.NANOSECONDS));
      polled.awaitUninterruptibly(MAX_WAIT_MS);
    }
  }
}
