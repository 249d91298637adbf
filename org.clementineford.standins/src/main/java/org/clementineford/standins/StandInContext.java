package org.clementineford.standins;

import io.netty.channel.EventLoopGroup;
import org.agrona.concurrent.NanoClock;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.transport.EventLoopScheduler;

/**
 * Threads, address, time and seed of a stand-in.
 *
 * @param eventLoops event loops that serve the connections; the caller shuts them down
 * @param address address to listen on; with port 0 the system chooses a free port
 * @param clock monotonic clock for lags and rate limits
 * @param scheduler timers that follow the clock
 * @param seed seed of random choices and of generated content
 */
public record StandInContext(
    EventLoopGroup eventLoops, HostPort address, NanoClock clock, Scheduler scheduler, long seed) {

  /**
   * Returns a context that uses the system's time.
   *
   * @param eventLoops event loops that serve the connections and timers
   * @param address address to listen on; with port 0 the system chooses a free port
   * @param seed seed of random choices and of generated content
   * @return the context
   */
  public static StandInContext onSystemTime(
      EventLoopGroup eventLoops, HostPort address, long seed) {
    return new StandInContext(
        eventLoops, address, SystemNanoClock.INSTANCE, new EventLoopScheduler(eventLoops), seed);
  }

  /**
   * Returns a context that uses the system's time and a free port on loopback.
   *
   * @param eventLoops event loops that serve the connections and timers
   * @param seed seed of random choices and of generated content
   * @return the context
   */
  public static StandInContext onLoopback(EventLoopGroup eventLoops, long seed) {
    return onSystemTime(eventLoops, new HostPort("127.0.0.1", 0), seed);
  }
}
