package org.clementineford.configuration;

import java.util.Collection;

/** Keeps the document with the highest revision seen. Not thread-safe. */
public final class RevisionKeeper {
  private Document current = Document.EMPTY;

  /** What became of an offered document. */
  public enum Outcome {
    /** The offer has a higher revision and is now the current document. */
    RAISED,
    /** The offer has the current revision. */
    SAME,
    /** The offer has a lower revision, for example from a stale read, and was rejected. */
    STALE,
    /** The offer starts above the current revision, so sections would be missing. */
    GAP;

    /**
     * Tells whether the current document changed.
     *
     * @return true if listeners must be told
     */
    public boolean changed() {
      return this == RAISED;
    }
  }

  /**
   * Returns the document with the highest revision seen.
   *
   * @return the document
   */
  public Document current() {
    return current;
  }

  /**
   * Offers a whole document from any source.
   *
   * @param document the document
   * @return what became of it
   */
  public Outcome offer(Document document) {
    Outcome outcome = compare(document.revision());
    if (outcome.changed()) {
      current = document;
    }
    return outcome;
  }

  /**
   * Offers a delta.
   *
   * @param since revision from which the delta starts
   * @param revision revision to which it leads
   * @param sections all sections that changed between the two
   * @return what became of it
   */
  public Outcome offer(long since, long revision, Collection<DocumentSection> sections) {
    Outcome outcome = compare(revision);
    if (!outcome.changed()) {
      return outcome;
    }
    if (since > current.revision()) {
      return Outcome.GAP;
    }
    current = current.merge(revision, sections);
    return outcome;
  }

  private Outcome compare(long revision) {
    if (revision > current.revision()) {
      return Outcome.RAISED;
    }
    return revision == current.revision() ? Outcome.SAME : Outcome.STALE;
  }
}
