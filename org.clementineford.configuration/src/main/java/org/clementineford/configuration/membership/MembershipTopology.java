package org.clementineford.configuration.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;

/**
 * Topology of a set of members: which ones watch the platform, which members each one observes, and
 * to which it sends announcements.
 *
 * <p>Within a data centre the members form {@value #RINGS} pseudo-random rings. Each member
 * observes its successor on each ring, sends it announcements and compares tables with it. So the
 * number of connections does not grow with the fleet, and every member has observers. Source: L.
 * Suresh et al., "Stable and Consistent Membership at Scale with Rapid", USENIX ATC 2018.
 */
public final class MembershipTopology {
  /** Number of rings in a data centre. */
  public static final int RINGS = 4;

  /** Number of entry VMs in a data centre that watch the platform and link to other ones. */
  public static final int WATCHERS = 2;

  private final Map<String, VmIdentity> members = new TreeMap<>();
  private final Map<String, Set<String>> successors = new HashMap<>();
  private final Map<String, Set<String>> predecessors = new HashMap<>();
  private final Map<String, List<String>> rankedEntryVms = new TreeMap<>();

  /**
   * Creates the topology.
   *
   * @param identities members to include
   */
  public MembershipTopology(Collection<VmIdentity> identities) {
    Map<String, Set<String>> byDataCentre = new TreeMap<>();
    Map<String, Set<String>> entriesByDataCentre = new TreeMap<>();
    for (VmIdentity identity : identities) {
      members.put(identity.vm(), identity);
      byDataCentre.computeIfAbsent(identity.dataCentre(), k -> new TreeSet<>()).add(identity.vm());
      if (identity.role() == VmRole.ENTRY) {
        entriesByDataCentre
            .computeIfAbsent(identity.dataCentre(), k -> new TreeSet<>())
            .add(identity.vm());
      }
    }
    byDataCentre.values().forEach(this::linkRings);
    entriesByDataCentre.forEach(
        (dataCentre, entries) ->
            rankedEntryVms.put(
                dataCentre, RendezvousRanking.order("watch/" + dataCentre, entries)));
  }

  private void linkRings(Set<String> names) {
    for (int ring = 0; ring < RINGS; ring++) {
      List<String> order = RendezvousRanking.order("ring-" + ring, names);
      for (int i = 0; i < order.size() && order.size() > 1; i++) {
        String from = order.get(i);
        String to = order.get((i + 1) % order.size());
        successors.computeIfAbsent(from, k -> new LinkedHashSet<>()).add(to);
        predecessors.computeIfAbsent(to, k -> new TreeSet<>()).add(from);
      }
    }
  }

  /**
   * Returns the members that a member observes and to which it sends announcements.
   *
   * @param vm name of the member
   * @return at most {@link #RINGS} members of its data centre
   */
  public List<VmIdentity> subjects(String vm) {
    return successors.getOrDefault(vm, Set.of()).stream().map(members::get).toList();
  }

  /**
   * Returns the number of members that observe a member.
   *
   * @param vm name of the member
   * @return a number from 0 to {@link #RINGS}
   */
  public int observerCount(String vm) {
    return predecessors.getOrDefault(vm, Set.of()).size();
  }

  /**
   * Returns whether a member watches the platform for its data centre.
   *
   * @param self the member
   * @return true if the member is one of the first {@link #WATCHERS} entry VMs by rank
   */
  public boolean isWatcher(VmIdentity self) {
    List<String> order = rankedEntryVms.getOrDefault(self.dataCentre(), List.of());
    return order.subList(0, Math.min(WATCHERS, order.size())).contains(self.vm());
  }

  /**
   * Returns one entry VM of each other data centre. Different members get different entry VMs where
   * possible, and a member always gets the same one.
   *
   * @param self the member that links to them
   * @return at most one member for each other data centre
   */
  public List<VmIdentity> remoteEntryVms(VmIdentity self) {
    List<VmIdentity> remote = new ArrayList<>();
    rankedEntryVms.forEach(
        (dataCentre, entries) -> {
          if (!dataCentre.equals(self.dataCentre())) {
            remote.add(members.get(RendezvousRanking.order("link/" + self.vm(), entries).get(0)));
          }
        });
    return remote;
  }
}
