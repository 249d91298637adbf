package org.clementineford.configuration.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.testing.VirtualTime;

/** Simulated fleet whose membership tables exchange statements every second, without sockets. */
final class SimulatedFleet {
  private final VirtualTime time = new VirtualTime(0);
  private final Map<String, MembershipTable> tables = new LinkedHashMap<>();
  private final Map<String, Long> ticks = new HashMap<>();
  private final Set<String> stopped = new HashSet<>();
  private final Set<String> paused = new HashSet<>();
  private final Set<Set<String>> brokenLinks = new HashSet<>();
  private final Map<String, Integer> partitions = new HashMap<>();

  static VmIdentity identity(String vm, VmRole role, String dataCentre, long incarnation) {
    return new VmIdentity(
        vm, role, dataCentre, "region", incarnation, new HostPort("127.0.0.1", 1));
  }

  void add(VmIdentity identity, String seed) {
    MembershipTable table = new MembershipTable(identity, MembershipTiming.DEFAULT);
    tables.put(identity.vm(), table);
    stopped.remove(identity.vm());
    if (seed != null) {
      exchange(identity.vm(), seed, true);
    }
  }

  void addDataCentre(String name, int entries, int endpoints) {
    for (int i = 0; i < entries + endpoints; i++) {
      boolean entry = i < entries;
      String vm = name + (entry ? "-entry-" : "-endpoint-") + i;
      VmRole role = entry ? VmRole.ENTRY : VmRole.ENDPOINT;
      add(identity(vm, role, name, 1), tables.isEmpty() ? null : tables.keySet().iterator().next());
    }
  }

  void stop(String vm) {
    stopped.add(vm);
  }

  void pause(String vm) {
    paused.add(vm);
  }

  void resume(String vm) {
    paused.remove(vm);
  }

  /**
   * Moves members to a partition; the default is partition 0. Members of different partitions
   * cannot reach each other.
   */
  void moveToPartition(Collection<String> vms, int partition) {
    vms.forEach(vm -> partitions.put(vm, partition));
  }

  void breakLink(String one, String other) {
    brokenLinks.add(Set.of(one, other));
  }

  MembershipTable table(String vm) {
    return tables.get(vm);
  }

  List<String> runningVms(String prefix) {
    return tables.keySet().stream()
        .filter(vm -> vm.startsWith(prefix) && !stopped.contains(vm))
        .toList();
  }

  long count(String observer, String prefix, MemberPhase phase) {
    return tables.get(observer).allStatements().stream()
        .filter(statement -> statement.vm().startsWith(prefix) && statement.phase() == phase)
        .count();
  }

  VirtualTime time() {
    return time;
  }

  void runSeconds(int seconds) {
    for (int i = 0; i < seconds; i++) {
      time.advance(1, TimeUnit.SECONDS);
      for (String vm : List.copyOf(tables.keySet())) {
        if (!stopped.contains(vm) && !paused.contains(vm)) {
          tick(vm);
        }
      }
    }
  }

  private void tick(String vm) {
    MembershipTable table = tables.get(vm);
    long tick = ticks.merge(vm, 1L, Long::sum);
    table.tick(time.nanoTime());
    table.probeTargets(tick).forEach(subject -> exchange(vm, subject.vm(), false));
    List<VmIdentity> remotes = table.topology().remoteEntryVms(table.ownStatement().identity());
    if (table.topology().isWatcher(table.ownStatement().identity()) && !remotes.isEmpty()) {
      exchange(vm, remotes.get((int) (tick % remotes.size())).vm(), false);
    }
  }

  void exchange(String from, String to, boolean sendAll) {
    MembershipTable sender = tables.get(from);
    final MembershipTable receiver = tables.get(to);
    boolean reachable =
        !stopped.contains(to)
            && !paused.contains(to)
            && !brokenLinks.contains(Set.of(from, to))
            && partitions.getOrDefault(from, 0).equals(partitions.getOrDefault(to, 0));
    if (!reachable) {
      sender.probeFailed(to, time.nanoTime());
      return;
    }
    List<MemberStatement> request = new ArrayList<>(sender.statementsToRefute(to));
    request.add(MemberStatement.own(sender.ownStatement().identity(), MemberPhase.ALIVE, 1));
    request.addAll(sender.takeUpdates(12));
    final boolean different = sender.digest() != receiver.digest();
    receiver.receive(request, time.nanoTime());
    List<MemberStatement> reply = new ArrayList<>(receiver.statementsToRefute(from));
    reply.add(MemberStatement.own(receiver.ownStatement().identity(), MemberPhase.ALIVE, 1));
    reply.addAll(sendAll || different ? receiver.allStatements() : receiver.takeUpdates(12));
    sender.receive(reply, time.nanoTime());
    sender.probeAnswered(to);
  }
}
