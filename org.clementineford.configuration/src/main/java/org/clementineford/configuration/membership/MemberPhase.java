package org.clementineford.configuration.membership;

/** Phase of a member. Of two statements with the same number, the later phase wins. */
public enum MemberPhase {
  /** Answers. */
  ALIVE,
  /** Takes no new work and stops once its work has ended. */
  LEAVING,
  /** Did not answer at least one observer; may be dead or cut off. */
  SUSPECT,
  /** Did not answer enough observers for long enough. */
  DEAD;

  /**
   * Tells whether this phase replaces another one that has the same statement number.
   *
   * @param other the other phase
   * @return true if this one is later
   */
  public boolean overrides(MemberPhase other) {
    return compareTo(other) > 0;
  }
}
