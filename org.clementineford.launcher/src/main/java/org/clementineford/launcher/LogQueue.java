package org.clementineford.launcher;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.event.KeyValuePair;

/**
 * Queue of log lines to be written by a separate thread. When the queue is full, lines are dropped
 * and counted instead of blocking requests. The count is logged once half of the queue is free
 * again.
 */
final class LogQueue extends AsyncAppender {
  /** Capacity of the queue; a busy entry VM fills it in about two seconds. */
  private static final int CAPACITY = 2048;

  /** Share of the capacity that is reserved for warnings and errors. */
  private static final double RESERVED_SHARE = 0.2;

  /** Free share of the capacity from which the count of dropped lines is logged. */
  private static final double RECOVERED_SHARE = 0.5;

  private final Logger logger;
  private final Counter dropped;
  private final AtomicLong unreportedDrops = new AtomicLong();

  LogQueue(LoggerContext context, PrometheusRegistry registry) {
    this(context, registry, CAPACITY);
  }

  LogQueue(LoggerContext context, PrometheusRegistry registry, int capacity) {
    logger = context.getLogger(LogQueue.class);
    dropped =
        Counter.builder()
            .name("clementineford_log_lines_dropped_total")
            .help("Log lines that were not written because too many waited")
            .register(registry);
    setContext(context);
    setQueueSize(capacity);
    setDiscardingThreshold(0);
    setNeverBlock(true);
  }

  @Override
  protected void append(ILoggingEvent event) {
    int free = getRemainingCapacity();
    boolean belowWarning = Level.INFO.isGreaterOrEqual(event.getLevel());
    if (free == 0 || (belowWarning && free < RESERVED_SHARE * getQueueSize())) {
      dropped.inc();
      unreportedDrops.incrementAndGet();
      return;
    }
    if (free >= RECOVERED_SHARE * getQueueSize()) {
      long lines = unreportedDrops.getAndSet(0);
      if (lines > 0) {
        super.append(droppedLinesEvent(lines));
      }
    }
    super.append(event);
  }

  private LoggingEvent droppedLinesEvent(long lines) {
    LoggingEvent event =
        new LoggingEvent(
            LogQueue.class.getName(), logger, Level.WARN, "log lines dropped", null, null);
    event.setKeyValuePairs(List.of(new KeyValuePair("lines", lines)));
    return event;
  }
}
