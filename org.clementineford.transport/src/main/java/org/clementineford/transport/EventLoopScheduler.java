package org.clementineford.transport;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs scheduled tasks on Netty event loops. An exception or error that a task throws is logged; a
 * repeated task continues to run.
 */
public final class EventLoopScheduler implements Scheduler {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoopScheduler.class);

  private final EventLoopGroup eventLoops;

  /**
   * Creates a scheduler.
   *
   * @param eventLoops event loops that run the tasks
   */
  public EventLoopScheduler(EventLoopGroup eventLoops) {
    this.eventLoops = eventLoops;
  }

  @Override
  public Cancellable schedule(Runnable task, long delay, TimeUnit unit) {
    Future<?> future = eventLoops.schedule(() -> run(task), delay, unit);
    return () -> future.cancel(false);
  }

  @Override
  public Cancellable scheduleWithFixedDelay(Runnable task, long interval, TimeUnit unit) {
    Future<?> future = eventLoops.scheduleWithFixedDelay(() -> run(task), interval, interval, unit);
    return () -> future.cancel(false);
  }

  private static void run(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      LOG.error("scheduled task failed", e);
    }
  }
}
