package org.clementineford.client;

import java.util.List;

/**
 * Result of a change.
 *
 * @param outcome what happened
 * @param revision revision of the document that the change made
 * @param changeIdentity identity of the change
 * @param warnings texts for the operator
 */
public record ApplyResult(
    Outcome outcome, long revision, String changeIdentity, List<String> warnings) {
  /** What happened to a change that is in the document now. */
  public enum Outcome {
    /** This call made the change. */
    APPLIED("accepted"),
    /** An earlier attempt with the same identity made the change. */
    ALREADY_APPLIED("accepted earlier");

    private final String text;

    Outcome(String text) {
      this.text = text;
    }

    /**
     * Returns a word for people.
     *
     * @return the text
     */
    public String text() {
      return text;
    }
  }
}
