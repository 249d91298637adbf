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
  private static final int CAPACITY = 20;

  private final LoggerContext context = new LoggerContext();
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final CountDownLatch outputUnblocked = new CountDownLatch(1);
  private final CountDownLatch outputBlocked = new CountDownLatch(1);
  private final BlockingQueue<ILoggingEvent> written = new LinkedBlockingQueue<>();
  private final Logger logger = context.getLogger("test");

  @BeforeEach
  void setUp() throws InterruptedException {
    context.setMDCAdapter(new LogbackMDCAdapter());
    AppenderBase<ILoggingEvent> blockedAppender =
        new AppenderBase<>() {
          @Override
          protected void append(ILoggingEvent event) {
            outputBlocked.countDown();
            try {
              outputUnblocked.await(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
            written.add(event);
          }
        };
    blockedAppender.setContext(context);
    blockedAppender.start();
    LogQueue queue = new LogQueue(context, registry, CAPACITY);
    queue.addAppender(blockedAppender);
    queue.start();
    logger.setLevel(Level.INFO);
    logger.addAppender(queue);
    // The writer takes all queued lines at once, so it must not start while the test logs.
    logger.info("first line");
    assertThat(outputBlocked.await(10, TimeUnit.SECONDS)).isTrue();
  }

  @AfterEach
  void tearDown() {
    outputUnblocked.countDown();
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

  // Guards against requests that block on the log, and against lines that are dropped without a
  // count.
  @Test
  void countsLinesDroppedFromTheFullQueue() throws Exception {
    long startNanos = System.nanoTime();
    for (int i = 0; i < 3 * CAPACITY; i++) {
      logger.info("line {}", i);
    }
    assertThat(TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startNanos)).isLessThan(5);
    double droppedLines = dropped();
    assertThat(droppedLines).isBetween(1.0 * CAPACITY, 3.0 * CAPACITY);

    outputUnblocked.countDown();
    assertThat(next().getMessage()).isEqualTo("first line");
    for (int i = 0; i < 3 * CAPACITY - droppedLines; i++) {
      assertThat(next().getMessage()).isEqualTo("line {}");
    }
    logger.info("queue is free again");
    ILoggingEvent report = next();
    assertThat(report.getMessage()).isEqualTo("log lines dropped");
    assertThat(report.getKeyValuePairs().get(0).value).isEqualTo((long) droppedLines);
    assertThat(next().getMessage()).isEqualTo("queue is free again");
  }

  private ILoggingEvent next() throws InterruptedException {
    ILoggingEvent event = written.poll(10, TimeUnit.SECONDS);
    assertThat(event).as("next line").isNotNull();
    return event;
  }

  // Guards against dropping warnings because INFO lines fill the queue.
  @Test
  void reservesCapacityForWarnings() {
    for (int i = 0; i < 3 * CAPACITY; i++) {
      logger.info("line {}", i);
    }
    double droppedLines = dropped();
    assertThat(droppedLines).isPositive();
    logger.warn("warning");
    assertThat(dropped()).isEqualTo(droppedLines);
  }
}
