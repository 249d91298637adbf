package org.clementineford.standins;

import io.netty.channel.EventLoopGroup;
import org.agrona.concurrent.NanoClock;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.transport.EventLoopScheduler;

/**
 * What every stand-in needs.
 *
 * @param eventLoops threads of the connections; the caller shuts them down
 * @param address where to listen; port 0 lets the system choose
 * @param clock monotonic clock of lags and limits
 * @param scheduler timers on the same time as the clock
 * @param seed seed of random choices and of generated content
 */
public record StandInContext(
    EventLoopGroup eventLoops, HostPort address, NanoClock clock, Scheduler scheduler, long seed) {

  /**
   * Returns a context that uses the system's time.
   *
   * @param eventLoops threads of the connections and timers
   * @param address where to listen; port 0 lets the system choose
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
   * @param eventLoops threads of the connections and timers
   * @param seed seed of random choices and of generated content
   * @return the context
   */
  public static StandInContext onLoopback(EventLoopGroup eventLoops, long seed) {
    return onSystemTime(eventLoops, new HostPort("127.0.0.1", 0), seed);
  }
}
