package org.clementineford.node.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.clementineford.configuration.membership.MemberPhase;
import org.clementineford.configuration.membership.MemberStatement;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.transport.Payloads;
import org.clementineford.wire.MemberState;

/** Converts membership statements to and from their wire form. */
final class WireMembers {
  private WireMembers() {}

  static List<MemberState> toWire(Collection<MemberStatement> statements) {
    List<MemberState> states = new ArrayList<>();
    for (MemberStatement statement : statements) {
      MemberState state =
          new MemberState()
              .setMember(Payloads.toWire(statement.identity()))
              .setPhase(org.clementineford.wire.MemberPhase.valueOf(statement.phase().name()))
              .setStatementNumber(statement.number());
      if (!statement.accusers().isEmpty()) {
        state.setAccusers(List.copyOf(statement.accusers()));
      }
      states.add(state);
    }
    return states;
  }

  static List<MemberStatement> fromWire(Collection<MemberState> states) throws SettingException {
    List<MemberStatement> statements = new ArrayList<>();
    for (MemberState state : states) {
      statements.add(
          new MemberStatement(
              Payloads.fromWire(state.getMember()),
              MemberPhase.valueOf(state.getPhase().name()),
              state.getStatementNumber(),
              state.isSetAccusers() ? Set.copyOf(state.getAccusers()) : Set.of()));
    }
    return statements;
  }
}
