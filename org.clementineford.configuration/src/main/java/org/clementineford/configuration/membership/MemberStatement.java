package org.clementineford.configuration.membership;

import java.util.Set;
import java.util.TreeSet;
import org.clementineford.kernel.Fingerprint;
import org.clementineford.kernel.VmIdentity;

/**
 * Statement about the state of a member, which the members exchange.
 *
 * @param identity the member, with the incarnation that the statement is about
 * @param phase phase of the member
 * @param number statement number; only the member itself increases it
 * @param accusers VMs that could not reach the member; empty unless the phase is SUSPECT
 */
public record MemberStatement(
    VmIdentity identity, MemberPhase phase, long number, Set<String> accusers) {
  /** Copies the accusers. */
  public MemberStatement {
    accusers = Set.copyOf(accusers);
  }

  /**
   * Creates a statement of a member about itself.
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
   * Returns the name of the member's VM.
   *
   * @return the name
   */
  public String vm() {
    return identity.vm();
  }

  /**
   * Returns whether this statement replaces the known one about the same VM. A higher incarnation
   * takes precedence, then a higher number, then a later phase.
   *
   * @param other the known statement
   * @return true if the known statement must be replaced
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
   * Returns whether this statement is about the same suspicion as another one and names accusers
   * that the other one lacks.
   *
   * @param other the known statement about the same VM
   * @return true if the accusers must be merged
   */
  boolean addsAccusers(MemberStatement other) {
    return phase == MemberPhase.SUSPECT
        && other.phase == MemberPhase.SUSPECT
        && identity.incarnation() == other.identity.incarnation()
        && number == other.number
        && !other.accusers.containsAll(accusers);
  }

  MemberStatement withAccusers(Set<String> newAccusers) {
    Set<String> mergedAccusers = new TreeSet<>(accusers);
    mergedAccusers.addAll(newAccusers);
    return new MemberStatement(identity, MemberPhase.SUSPECT, number, mergedAccusers);
  }

  MemberStatement withPhase(MemberPhase newPhase) {
    return new MemberStatement(identity, newPhase, number, Set.of());
  }

  /**
   * Returns a hash of the statement, for comparing tables.
   *
   * @return a hash that is equal for equal statements; it does not cover the accusers
   */
  long fingerprint() {
    return Fingerprint.of(
        identity.vm() + '/' + identity.incarnation() + '/' + number + '/' + phase.name());
  }
}
