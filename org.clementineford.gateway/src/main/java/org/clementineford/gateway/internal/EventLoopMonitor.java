package org.clementineford.gateway.internal;

import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Measures how late the event loop runs a periodic task. While it is late, it reads neither the
 * answers of endpoints nor the closes of callers.
 */
final class EventLoopMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoopMonitor.class);

  /** Lateness from which the histogram counts it; timers are always a few milliseconds late. */
  private static final long MIN_RECORDED_MS = 50;

  /** Lateness from which it is logged; half of the time after which a caller's close must work. */
  private static final long MIN_LOGGED_MS = 250;

  private final NanoClock clock;
  private final long intervalNanos;
  private final GatewayMetrics metrics;
  private final List<GarbageCollectorMXBean> collectors =
      ManagementFactory.getGarbageCollectorMXBeans();
  private boolean started;
  private long dueAt;
  private long cpuNanosAtEnd;
  private long collectorMsAtEnd;

  EventLoopMonitor(NanoClock clock, long intervalNanos, GatewayMetrics metrics) {
    this.clock = clock;
    this.intervalNanos = intervalNanos;
    this.metrics = metrics;
  }

  /** Called on the event loop when the periodic task starts. */
  void taskStarted(int requestsInProgress) {
    if (!started) {
      return;
    }
    long lateMs = TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - dueAt);
    if (lateMs >= MIN_RECORDED_MS) {
      metrics.recordEventLoopLateness(lateMs);
    }
    if (lateMs >= MIN_LOGGED_MS) {
      LOG.atWarn()
          .addKeyValue("lateMs", lateMs)
          .addKeyValue("cpuMs", TimeUnit.NANOSECONDS.toMillis(threadCpuNanos() - cpuNanosAtEnd))
          .addKeyValue("collectorMs", collectorMs() - collectorMsAtEnd)
          .addKeyValue("requests", requestsInProgress)
          .log("event loop was late");
    }
  }

  /** Called on the event loop when the periodic task ends. */
  void taskEnded() {
    started = true;
    cpuNanosAtEnd = threadCpuNanos();
    collectorMsAtEnd = collectorMs();
    dueAt = clock.nanoTime() + intervalNanos;
  }

  private static long threadCpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private long collectorMs() {
    long sum = 0;
    for (GarbageCollectorMXBean collector : collectors) {
      sum += collector.getCollectionTime();
    }
    return sum;
  }
}
