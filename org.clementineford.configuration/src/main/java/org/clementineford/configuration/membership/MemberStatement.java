package org.clementineford.configuration.membership;

import java.util.Set;
import java.util.TreeSet;
import org.clementineford.kernel.VmIdentity;

/**
 * What is said about a member.
 *
 * @param identity the incarnation of which it is said
 * @param phase the phase
 * @param number statement number; only the member itself raises it
 * @param accusers VMs that could not reach the member; empty unless the phase is SUSPECT
 */
public record MemberStatement(
    VmIdentity identity, MemberPhase phase, long number, Set<String> accusers) {
  /** Copies the accusers. */
  public MemberStatement {
    accusers = Set.copyOf(accusers);
  }

  /**
   * Makes the statement of a member about itself.
   *
   * @param identity the member
   * @param phase ALIVE or LEAVING
   * @param number statement number
   * @return the statement
   */
  public static MemberStatement own(VmIdentity identity, MemberPhase phase, long number) {
    return new MemberStatement(identity, phase, number, Set.of());
  }

  /**
   * Returns the name of the VM.
   *
   * @return the name
   */
  public String vm() {
    return identity.vm();
  }

  /**
   * Tells whether this statement replaces an earlier one about the same VM. A higher incarnation
   * wins, then a higher number, then a later phase.
   *
   * @param other the statement known so far
   * @return true if it must be replaced
   */
  boolean replaces(MemberStatement other) {
    if (identity.incarnation() != other.identity.incarnation()) {
      return identity.incarnation() > other.identity.incarnation();
    }
    if (number != other.number) {
      return number > other.number;
    }
    return phase.overrides(other.phase);
  }

  /**
   * Tells whether two statements are about the same suspicion and name different accusers.
   *
   * @param other a statement about the same VM
   * @return true if the accusers must be united
   */
  boolean addsAccusers(MemberStatement other) {
    return phase == MemberPhase.SUSPECT
        && other.phase == MemberPhase.SUSPECT
        && identity.incarnation() == other.identity.incarnation()
        && number == other.number
        && !other.accusers.containsAll(accusers);
  }

  MemberStatement withAccusers(Set<String> more) {
    Set<String> united = new TreeSet<>(accusers);
    united.addAll(more);
    return new MemberStatement(identity, MemberPhase.SUSPECT, number, united);
  }

  MemberStatement withPhase(MemberPhase newPhase) {
    return new MemberStatement(identity, newPhase, number, Set.of());
  }

  /**
   * Returns a hash for comparing tables.
   *
   * @return equal for equal statements; accusers are left out
   */
  long fingerprint() {
    return Ranking.hash(
        identity.vm() + '/' + identity.incarnation() + '/' + number + '/' + phase.name());
  }
}
