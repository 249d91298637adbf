package org.clementineford.serving.directory;

import java.util.OptionalLong;

/**
 * The era of the platform's history, as one process knows it. Decides which answers belong to it:
 * an answer to a call from before the era was learned may be of an earlier one. Times are
 * nanoseconds of one monotonic clock.
 */
public final class PlatformHistory {
  private long era;
  private boolean eraKnown;
  private boolean answeredWithoutEra;
  private long learnedAt;

  /** What an answer shows about the era. */
  public enum Reading {
    /** The answer is of the known era, or does not tell its era. */
    CURRENT,
    /** The platform was restored; copies of the era before must be read again. */
    RESTORED,
    /** The answer is of an earlier era and must not be used. */
    OUTDATED
  }

  /**
   * Reads the era of an answer.
   *
   * @param answered era that the answer tells; empty if it tells none
   * @param current true if the platform answers with its state at the call, not with older data
   * @param calledAt time at which the call began
   * @param now present time
   * @return what the answer shows
   */
  public Reading read(OptionalLong answered, boolean current, long calledAt, long now) {
    if (answered.isEmpty()) {
      answeredWithoutEra = true;
      return Reading.CURRENT;
    }
    if (eraKnown && answered.getAsLong() == era) {
      return Reading.CURRENT;
    }
    // A lower era in a current answer to a later call shows that the known one was never true.
    boolean mayBeLate = !current || calledAt - learnedAt < 0;
    if (eraKnown && answered.getAsLong() < era && mayBeLate) {
      return Reading.OUTDATED;
    }
    final boolean first = !eraKnown && !answeredWithoutEra;
    era = answered.getAsLong();
    eraKnown = true;
    learnedAt = now;
    return first ? Reading.CURRENT : Reading.RESTORED;
  }

  /**
   * Returns the era.
   *
   * @return number of the era; 0 if no answer told one
   */
  public long era() {
    return era;
  }
}
