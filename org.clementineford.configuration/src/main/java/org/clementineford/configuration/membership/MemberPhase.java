package org.clementineford.configuration.membership;

/**
 * Lifecycle phase of a member. Of two statements with the same number, the later phase takes
 * precedence.
 */
public enum MemberPhase {
  /** Responds to probes. */
  ALIVE,
  /** Accepts no new work and stops when its current work is done. */
  LEAVING,
  /** Did not respond to at least one observer; may be dead or partitioned from it. */
  SUSPECT,
  /** Did not respond to enough observers for long enough, or stopped after leaving. */
  DEAD;

  /**
   * Returns whether this phase overrides another phase with the same statement number.
   *
   * @param other the other phase
   * @return true if this phase is later
   */
  public boolean overrides(MemberPhase other) {
    return compareTo(other) > 0;
  }
}
