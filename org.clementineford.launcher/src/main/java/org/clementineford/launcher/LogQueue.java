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
 * Log lines that wait to be written. Lines that find no room are dropped and counted, so that no
 * request waits for the log; the count is logged once there is room again.
 */
final class LogQueue extends AsyncAppender {
  /** Lines that wait at most; a busy entry VM fills them in about two seconds. */
  private static final int LINES = 2048;

  /** Room that is left to warnings and errors, as a part of all lines. */
  private static final double RESERVED_PART = 0.2;

  /** Room from which the count of dropped lines is logged, as a part of all lines. */
  private static final double RECOVERED_PART = 0.5;

  private final Logger logger;
  private final Counter dropped;
  private final AtomicLong notReported = new AtomicLong();

  LogQueue(LoggerContext context, PrometheusRegistry registry) {
    this(context, registry, LINES);
  }

  LogQueue(LoggerContext context, PrometheusRegistry registry, int lines) {
    logger = context.getLogger(LogQueue.class);
    dropped =
        Counter.builder()
            .name("clementineford_log_lines_dropped_total")
            .help("Log lines that were not written because too many waited")
            .register(registry);
    setContext(context);
    setQueueSize(lines);
    setDiscardingThreshold(0);
    setNeverBlock(true);
  }

  @Override
  protected void append(ILoggingEvent event) {
    int room = getRemainingCapacity();
    boolean usual = Level.INFO.isGreaterOrEqual(event.getLevel());
    if (room == 0 || (usual && room < RESERVED_PART * getQueueSize())) {
      dropped.inc();
      notReported.incrementAndGet();
      return;
    }
    if (room >= RECOVERED_PART * getQueueSize()) {
      long lines = notReported.getAndSet(0);
      if (lines > 0) {
        super.append(report(lines));
      }
    }
    super.append(event);
  }

  private LoggingEvent report(long lines) {
    LoggingEvent event =
        new LoggingEvent(
            LogQueue.class.getName(), logger, Level.WARN, "log lines dropped", null, null);
    event.setKeyValuePairs(List.of(new KeyValuePair("lines", lines)));
    return event;
  }
}
