package org.clementineford.configuration;

import java.util.Collection;

/** Holds the document with the highest revision received so far. Not thread-safe. */
public final class LatestDocument {
  private Document current = Document.EMPTY;

  /** Result of offering a document or a delta. */
  public enum Outcome {
    /** The offer has a higher revision and was accepted; the current document changed. */
    RAISED,
    /** The offer has the current revision, so no change was needed. */
    SAME,
    /** The offer has a lower revision, for example from a stale read, and was rejected. */
    STALE,
    /** The delta starts above the current revision and was rejected; sections would be missing. */
    GAP;

    /**
     * Returns whether the current document changed.
     *
     * @return true if listeners must be notified
     */
    public boolean changed() {
      return this == RAISED;
    }
  }

  /**
   * Returns the document with the highest revision received so far.
   *
   * @return the document
   */
  public Document current() {
    return current;
  }

  /**
   * Accepts a complete document if its revision is higher than the current one.
   *
   * @param document the document
   * @return whether it was accepted, and why not
   */
  public Outcome offer(Document document) {
    Outcome outcome = compareWithCurrent(document.revision());
    if (outcome.changed()) {
      current = document;
    }
    return outcome;
  }

  /**
   * Applies a delta if it leads to a higher revision and starts at or below the current one.
   *
   * @param since revision at which the delta starts
   * @param revision revision to which the delta leads
   * @param sections all sections that changed between the two revisions
   * @return whether it was accepted, and why not
   */
  public Outcome offer(long since, long revision, Collection<DocumentSection> sections) {
    Outcome outcome = compareWithCurrent(revision);
    if (!outcome.changed()) {
      return outcome;
    }
    if (since > current.revision()) {
      return Outcome.GAP;
    }
    current = current.merge(revision, sections);
    return outcome;
  }

  private Outcome compareWithCurrent(long revision) {
    if (revision > current.revision()) {
      return Outcome.RAISED;
    }
    return revision == current.revision() ? Outcome.SAME : Outcome.STALE;
  }
}
