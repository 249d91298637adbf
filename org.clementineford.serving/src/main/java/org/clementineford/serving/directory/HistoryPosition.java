package org.clementineford.serving.directory;

import java.util.Comparator;

/**
 * Position in the history of the platform's objects. Revisions are comparable only within one era,
 * since a platform that is restored from a copy gives them out again in the next one.
 *
 * @param era number of the era; 0 if the platform does not tell it
 * @param revision revision of the platform in that era
 */
public record HistoryPosition(long era, long revision) implements Comparable<HistoryPosition> {
  /** Position before the first change. */
  public static final HistoryPosition START = new HistoryPosition(0, 0);

  private static final String SEPARATOR = ".";

  private static final Comparator<HistoryPosition> ORDER =
      Comparator.comparingLong(HistoryPosition::era).thenComparingLong(HistoryPosition::revision);

  @Override
  public int compareTo(HistoryPosition other) {
    return ORDER.compare(this, other);
  }

  /**
   * Returns the position as text.
   *
   * @return text from which {@link #parse} reads this position
   */
  public String toText() {
    return era + SEPARATOR + revision;
  }

  /**
   * Reads a position.
   *
   * @param text era and revision, separated by a dot
   * @return the position; {@link #START} if the text has another form
   */
  public static HistoryPosition parse(String text) {
    int separator = text.indexOf(SEPARATOR);
    try {
      return new HistoryPosition(
          Long.parseLong(text.substring(0, Math.max(0, separator))),
          Long.parseLong(text.substring(separator + 1)));
    } catch (NumberFormatException e) {
      return START;
    }
  }
}
