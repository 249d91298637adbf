package org.clementineford.gateway.internal;

import org.slf4j.event.Level;

/**
 * Reason why the connection of a caller closed. The names of the constants appear in logs and as a
 * label of metrics.
 */
enum CallerClose {
  /** The caller closed it. */
  BY_CALLER(Level.INFO),
  /** The caller reset it, or the network failed. */
  LOST(Level.INFO),
  /** Nothing happened on it for the configured time. */
  IDLE(Level.WARN),
  /** Nothing happened on it during a planned stop. */
  IDLE_WHILE_STOPPING(Level.WARN),
  /** The process ends. */
  END_OF_STOP(Level.WARN),
  /** Its last answer, which announced the close or whose request asked for it, was written. */
  AFTER_ANSWER(Level.WARN),
  /** A streamed answer ended early, which only the close can tell the caller. */
  BROKEN_OFF(Level.INFO),
  /** The program failed while it handled input of the connection. */
  ERROR(Level.WARN);

  private final Level levelIfUnanswered;

  CallerClose(Level levelIfUnanswered) {
    this.levelIfUnanswered = levelIfUnanswered;
  }

  /** Returns the level of the log line if the connection had requests without an answer. */
  Level levelIfUnanswered() {
    return levelIfUnanswered;
  }
}
