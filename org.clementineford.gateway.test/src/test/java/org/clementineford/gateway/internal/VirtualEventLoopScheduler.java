package org.clementineford.gateway.internal;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.Scheduler;
import org.clementineford.testing.VirtualTime;

/**
 * Passes tasks that become due in a virtual time to the event loop. If an action on the event loop
 * advances the time, the tasks run after it and before the next poll of the sockets, like timers
 * that expire while the event loop is busy.
 */
final class VirtualEventLoopScheduler implements Scheduler {
  private final VirtualTime time;
  private final EventLoopGroup eventLoops;

  VirtualEventLoopScheduler(VirtualTime time, EventLoopGroup eventLoops) {
    this.time = time;
    this.eventLoops = eventLoops;
  }

  @Override
  public Cancellable schedule(Runnable task, long delay, TimeUnit unit) {
    Handle handle = new Handle();
    handle.scheduled = time.schedule(() -> execute(task, handle), delay, unit);
    return handle;
  }

  @Override
  public Cancellable scheduleWithFixedDelay(Runnable task, long interval, TimeUnit unit) {
    Handle handle = new Handle();
    handle.scheduled = time.scheduleWithFixedDelay(() -> execute(task, handle), interval, unit);
    return handle;
  }

  private void execute(Runnable task, Handle handle) {
    eventLoops.execute(
        () -> {
          if (!handle.cancelled) {
            task.run();
          }
        });
  }

  private static final class Handle implements Cancellable {
    private volatile Cancellable scheduled;
    private volatile boolean cancelled;

    @Override
    public void cancel() {
      cancelled = true;
      scheduled.cancel();
    }
  }
}
