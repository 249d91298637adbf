package org.clementineford.launcher;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import org.slf4j.LoggerFactory;

/** JSON lines on standard output, written by a thread of their own. */
final class LogConfiguration {

  /** Lines that wait to be written; further ones are dropped, so that no request waits for them. */
  private static final int QUEUE_LINES = 2048;

  private LogConfiguration() {}

  /** Writes the lines that wait; later ones are dropped. */
  static void flush() {
    ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
  }

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
    AsyncAppender queue = new AsyncAppender();
    queue.setContext(context);
    queue.setQueueSize(QUEUE_LINES);
    queue.setNeverBlock(true);
    queue.addAppender(console);
    queue.start();
    Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.detachAndStopAllAppenders();
    root.setLevel(Level.INFO);
    root.addAppender(queue);
  }
}
