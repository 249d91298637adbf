package org.clementineford.node;

import java.util.List;
import java.util.function.Consumer;
import org.clementineford.kernel.VmIdentity;

/** The members of the fleet as seen by this process. */
public interface MembershipView {
  /**
   * Returns all members that are not dead, including this process.
   *
   * @return members in no particular order
   */
  List<Member> members();

  /**
   * Registers a listener that is called after each change with all members that are not dead.
   *
   * @param listener called on an event loop; must not block
   */
  void onChange(Consumer<List<Member>> listener);

  /** Phase of a member. */
  enum Phase {
    /** Answers probes. */
    ALIVE,
    /** Did not answer recent probes; may be dead or unreachable. */
    SUSPECT,
    /** Accepts no new work and stops when its work in flight has ended. */
    LEAVING;

    /**
     * Returns whether the member may be given new work.
     *
     * @return true for members that answer and are not leaving
     */
    public boolean takesNewWork() {
      return this == ALIVE;
    }
  }

  /**
   * A member.
   *
   * @param identity identity of its current incarnation
   * @param phase phase of the member
   */
  record Member(VmIdentity identity, Phase phase) {}
}
