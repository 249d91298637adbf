package org.clementineford.endpoint.internal.weights;

import java.util.ArrayList;
import java.util.List;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.node.MembershipView;
import org.clementineford.node.NodeContext;

/** Filters for the members that transfers use. */
final class MemberFilters {
  private MemberFilters() {}

  /** Returns the endpoint VMs that are not dead, including this one. */
  static List<VmIdentity> aliveEndpoints(NodeContext context) {
    List<VmIdentity> alive = new ArrayList<>();
    alive.add(context.self());
    for (MembershipView.Member member : context.membership().members()) {
      VmIdentity identity = member.identity();
      if (identity.role() == VmRole.ENDPOINT && !identity.vm().equals(context.self().vm())) {
        alive.add(identity);
      }
    }
    return alive;
  }

  /** Returns the entry VMs of this data centre. */
  static List<VmIdentity> entryVmsInDataCentre(NodeContext context) {
    return context.membership().members().stream()
        .map(MembershipView.Member::identity)
        .filter(identity -> identity.role() == VmRole.ENTRY)
        .filter(identity -> identity.dataCentre().equals(context.self().dataCentre()))
        .toList();
  }
}
