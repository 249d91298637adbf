package org.clementineford.launcher;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.slf4j.LoggerFactory;

/** Configures the log: JSON lines on standard output, written by a separate thread. */
final class LogConfiguration {
  private LogConfiguration() {}

  /** Writes the queued lines and stops the log; later lines are dropped. */
  static void flush() {
    ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
  }

  /** Sets the lowest level that is logged; INFO if the name is unknown. */
  static void setLevel(String level) {
    Logger root = (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(level, Level.INFO));
  }

  static void apply() {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    JsonEncoder encoder = new JsonEncoder();
    encoder.setContext(context);
    encoder.setWithFormattedMessage(true);
    encoder.setWithMessage(false);
    encoder.setWithArguments(false);
    encoder.setWithContext(false);
    encoder.setWithMDC(false);
    encoder.setWithSequenceNumber(false);
    encoder.setWithNanoseconds(false);
    encoder.setWithThreadName(false);
    encoder.start();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setEncoder(encoder);
    console.start();
    LogQueue queue = new LogQueue(context, PrometheusRegistry.defaultRegistry);
    queue.addAppender(console);
    queue.start();
    Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.detachAndStopAllAppenders();
    root.setLevel(Level.INFO);
    root.addAppender(queue);
  }
}
