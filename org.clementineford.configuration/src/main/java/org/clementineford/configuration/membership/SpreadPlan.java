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
 * Who watches the platform, who observes whom, and who announces to whom, among given members.
 *
 * <p>Inside a data centre the members form {@value #RINGS} pseudo-random rings. Each member
 * observes, announces to and compares with its successor on each ring, so the number of connections
 * does not grow with the fleet and every member has observers. Source: L. Suresh et al., "Stable
 * and Consistent Membership at Scale with Rapid", USENIX ATC 2018.
 */
public final class SpreadPlan {
  /** Rings in a data centre. */
  public static final int RINGS = 4;

  /** Entry VMs of a data centre that watch the platform and link to other data centres. */
  public static final int WATCHERS = 2;

  private final Map<String, VmIdentity> members = new TreeMap<>();
  private final Map<String, Set<String>> successors = new HashMap<>();
  private final Map<String, Set<String>> predecessors = new HashMap<>();
  private final Map<String, List<String>> watchers = new TreeMap<>();

  /**
   * Makes a plan.
   *
   * @param identities members that take part
   */
  public SpreadPlan(Collection<VmIdentity> identities) {
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
            watchers.put(dataCentre, Ranking.order("watch/" + dataCentre, entries)));
  }

  private void linkRings(Set<String> names) {
    for (int ring = 0; ring < RINGS; ring++) {
      List<String> order = Ranking.order("ring-" + ring, names);
      for (int i = 0; i < order.size() && order.size() > 1; i++) {
        String from = order.get(i);
        String to = order.get((i + 1) % order.size());
        successors.computeIfAbsent(from, k -> new LinkedHashSet<>()).add(to);
        predecessors.computeIfAbsent(to, k -> new TreeSet<>()).add(from);
      }
    }
  }

  /**
   * Returns the members that a member observes and announces to.
   *
   * @param vm name of the member
   * @return at most {@link #RINGS} members of its data centre
   */
  public List<VmIdentity> subjects(String vm) {
    return successors.getOrDefault(vm, Set.of()).stream().map(members::get).toList();
  }

  /**
   * Returns how many members observe a member.
   *
   * @param vm name of the member
   * @return from 0 to {@link #RINGS}
   */
  public int observerCount(String vm) {
    return predecessors.getOrDefault(vm, Set.of()).size();
  }

  /**
   * Tells whether a member watches the platform for its data centre.
   *
   * @param self the member
   * @return true for the {@link #WATCHERS} first entry VMs by rank
   */
  public boolean isWatcher(VmIdentity self) {
    List<String> order = watchers.getOrDefault(self.dataCentre(), List.of());
    return order.subList(0, Math.min(WATCHERS, order.size())).contains(self.vm());
  }

  /**
   * Returns one entry VM of each other data centre. Different members get different ones where
   * possible, and a member always gets the same.
   *
   * @param self the member that asks
   * @return at most one member for each other data centre
   */
  public List<VmIdentity> remoteEntries(VmIdentity self) {
    List<VmIdentity> remote = new ArrayList<>();
    watchers.forEach(
        (dataCentre, entries) -> {
          if (!dataCentre.equals(self.dataCentre())) {
            remote.add(members.get(Ranking.order("link/" + self.vm(), entries).get(0)));
          }
        });
    return remote;
  }
}
