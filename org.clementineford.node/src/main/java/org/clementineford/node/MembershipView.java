package org.clementineford.node;

import java.util.List;
import java.util.function.Consumer;
import org.clementineford.kernel.VmIdentity;

/** What this process believes about the other processes. */
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
    /** Answers. */
    ALIVE,
    /** Did not answer lately; may be dead or cut off. */
    SUSPECT,
    /** Takes no new work and stops once its work has ended. */
    LEAVING;

    /**
     * Tells whether the member may be given new work.
     *
     * @return true for members that answer and stay
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
