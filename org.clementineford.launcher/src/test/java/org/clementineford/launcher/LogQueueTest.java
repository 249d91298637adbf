package org.clementineford.launcher;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LogQueueTest {
  private static final int LINES = 20;

  private final LoggerContext context = new LoggerContext();
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final CountDownLatch output = new CountDownLatch(1);
  private final BlockingQueue<ILoggingEvent> written = new LinkedBlockingQueue<>();
  private final Logger logger = context.getLogger("test");

  @BeforeEach
  void setUp() {
    context.setMDCAdapter(new LogbackMDCAdapter());
    AppenderBase<ILoggingEvent> blocked =
        new AppenderBase<>() {
          @Override
          protected void append(ILoggingEvent event) {
            try {
              output.await(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
            written.add(event);
          }
        };
    blocked.setContext(context);
    blocked.start();
    LogQueue queue = new LogQueue(context, registry, LINES);
    queue.addAppender(blocked);
    queue.start();
    logger.setLevel(Level.INFO);
    logger.addAppender(queue);
  }

  @AfterEach
  void tearDown() {
    output.countDown();
    context.stop();
  }

  private double dropped() {
    for (MetricSnapshot snapshot : registry.scrape()) {
      if (snapshot instanceof CounterSnapshot counter) {
        return counter.getDataPoints().get(0).getValue();
      }
    }
    throw new AssertionError("no counter is registered");
  }

  // Guards against requests that wait for the log, and against lines that are lost unnoticed.
  @Test
  void countsTheLinesThatFindNoRoom() throws Exception {
    long begun = System.nanoTime();
    for (int i = 0; i < 3 * LINES; i++) {
      logger.info("line {}", i);
    }
    assertThat(TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - begun)).isLessThan(5);
    double lost = dropped();
    assertThat(lost).isBetween(1.0 * LINES, 3.0 * LINES);

    output.countDown();
    for (int i = 0; i < 3 * LINES - lost; i++) {
      assertThat(next().getMessage()).isEqualTo("line {}");
    }
    logger.info("room again");
    ILoggingEvent report = next();
    assertThat(report.getMessage()).isEqualTo("log lines dropped");
    assertThat(report.getKeyValuePairs().get(0).value).isEqualTo((long) lost);
    assertThat(next().getMessage()).isEqualTo("room again");
  }

  private ILoggingEvent next() throws InterruptedException {
    ILoggingEvent event = written.poll(10, TimeUnit.SECONDS);
    assertThat(event).as("next line").isNotNull();
    return event;
  }

  // Guards against warnings that are lost among many usual lines.
  @Test
  void leavesRoomToWarnings() {
    for (int i = 0; i < 3 * LINES; i++) {
      logger.info("line {}", i);
    }
    double lost = dropped();
    assertThat(lost).isPositive();
    logger.warn("warning");
    assertThat(dropped()).isEqualTo(lost);
  }
}
