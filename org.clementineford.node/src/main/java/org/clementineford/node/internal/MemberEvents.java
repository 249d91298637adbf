package org.clementineford.node.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.clementineford.configuration.membership.MemberPhase;
import org.clementineford.configuration.membership.MemberStatement;
import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.node.MembershipView;

/** Records the differences between successive membership tables as timeline events. */
final class MemberEvents {
  private final String self;
  private final Timeline timeline;
  private final Map<String, LastSeen> lastSeen = new HashMap<>();

  private record LastSeen(long incarnation, MemberPhase phase) {}

  MemberEvents(String self, Timeline timeline) {
    this.self = self;
    this.timeline = timeline;
  }

  /**
   * Records the changes since the last call.
   *
   * @param statements statements of the current table
   * @return true if peers should be notified immediately because a member joined or is leaving
   */
  boolean record(List<MemberStatement> statements) {
    boolean urgent = false;
    for (MemberStatement statement : statements) {
      LastSeen now = new LastSeen(statement.identity().incarnation(), statement.phase());
      LastSeen before = lastSeen.put(statement.vm(), now);
      if (!now.equals(before)) {
        boolean joined = before == null || before.incarnation() != now.incarnation();
        recordEvent(statement, joined);
        urgent |= joined || statement.phase() == MemberPhase.LEAVING;
      }
    }
    return urgent;
  }

  private void recordEvent(MemberStatement statement, boolean joined) {
    if (statement.vm().equals(self)) {
      return;
    }
    EventKind kind =
        switch (statement.phase()) {
          case ALIVE -> joined ? EventKind.MEMBER_JOINED : null;
          case LEAVING -> EventKind.MEMBER_LEAVING;
          case SUSPECT -> EventKind.MEMBER_SUSPECTED;
          case DEAD -> EventKind.MEMBER_DEAD;
        };
    if (kind != null) {
      timeline.record(
          kind,
          "member",
          statement.vm(),
          "memberIncarnation",
          Long.toString(statement.identity().incarnation()));
    }
  }

  static List<MembershipView.Member> toMembers(
      List<MemberStatement> statements, Set<String> leavingVms) {
    return statements.stream()
        .filter(statement -> statement.phase() != MemberPhase.DEAD)
        .map(
            statement ->
                new MembershipView.Member(statement.identity(), phase(statement, leavingVms)))
        .toList();
  }

  private static MembershipView.Phase phase(MemberStatement statement, Set<String> leavingVms) {
    if (leavingVms.contains(statement.vm())) {
      return MembershipView.Phase.LEAVING;
    }
    return switch (statement.phase()) {
      case ALIVE -> MembershipView.Phase.ALIVE;
      case LEAVING -> MembershipView.Phase.LEAVING;
      case SUSPECT, DEAD -> MembershipView.Phase.SUSPECT;
    };
  }
}
