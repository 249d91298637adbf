package org.clementineford.client;

import java.util.List;

/**
 * Result of a change to the document.
 *
 * @param outcome whether this call or an earlier one made the change
 * @param revision document revision that the change created
 * @param changeIdentity identity of the change
 * @param warnings warnings to show to the operator
 */
public record ApplyResult(
    Outcome outcome, long revision, String changeIdentity, List<String> warnings) {
  /** How a change that is now in the document was made. */
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
     * Returns the text shown to the operator.
     *
     * @return the text
     */
    public String text() {
      return text;
    }
  }
}
