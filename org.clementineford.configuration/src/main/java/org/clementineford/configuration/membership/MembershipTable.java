package org.clementineford.configuration.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.clementineford.kernel.VmIdentity;

/**
 * Membership table of one process: its view of all members. Not thread-safe; the caller passes in
 * the time.
 *
 * <p>Statements spread by gossip: the newest ones are attached to messages, each a limited number
 * of times. A member that does not respond becomes a suspect and can refute the suspicion by
 * increasing its statement number. It is declared dead when two of its observers, or its only one,
 * have accused it for the suspicion time. Source: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable
 * Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002; confirmation by
 * several observers follows Rapid (see {@link MembershipTopology}).
 */
public final class MembershipTable {
  private static final int MIN_ACCUSERS = 2;

  private final MembershipTiming timing;
  private final Map<String, MemberStatement> statements = new TreeMap<>();
  private final Map<String, Long> changedAtNanos = new TreeMap<>();
  private final ObserverHealth health;
  private final UpdateQueue updates = new UpdateQueue();
  private MemberStatement own;
  private MembershipTopology topology;
  private long digest;
  private long version;

  /**
   * Creates a table that contains only this process.
   *
   * @param self identity of this process
   * @param timing durations of failure detection
   */
  public MembershipTable(VmIdentity self, MembershipTiming timing) {
    this.timing = timing;
    this.health =
        new ObserverHealth(
            timing.maxTickNanos(), timing.suspicionNanos(), timing.confirmationNanos());
    this.own = MemberStatement.own(self, MemberPhase.ALIVE, 1);
    put(own, 0);
  }

  /**
   * Returns all statements, including those about dead members.
   *
   * @return the statements, sorted by VM name
   */
  public List<MemberStatement> allStatements() {
    return List.copyOf(statements.values());
  }

  /**
   * Returns the statement that a peer is suspected or dead, to send to that peer so that it can
   * refute it.
   *
   * @param vm name of the peer
   * @return the statement, or an empty list if the peer is unknown, alive or leaving
   */
  public List<MemberStatement> statementsToRefute(String vm) {
    MemberStatement known = statements.get(vm);
    boolean suspectedOrDead =
        known != null && known.phase().compareTo(MemberPhase.SUSPECT) >= 0 && known != own;
    return suspectedOrDead ? List.of(known) : List.of();
  }

  /**
   * Returns the statement of this process about itself.
   *
   * @return the statement
   */
  public MemberStatement ownStatement() {
    return own;
  }

  /**
   * Returns the version of the table, which increases with each change.
   *
   * @return the version
   */
  public long version() {
    return version;
  }

  /**
   * Returns a hash of all statements, for comparing the tables of two processes.
   *
   * @return a hash that is equal for tables with equal statements; it does not cover the accusers
   */
  public long digest() {
    return digest;
  }

  /**
   * Returns the topology of the members that are not dead.
   *
   * @return the topology for the current table
   */
  public MembershipTopology topology() {
    if (topology == null) {
      topology =
          new MembershipTopology(
              statements.values().stream()
                  .filter(statement -> statement.phase() != MemberPhase.DEAD)
                  .map(MemberStatement::identity)
                  .toList());
    }
    return topology;
  }

  /**
   * Merges received statements into the table.
   *
   * @param received statements from a peer
   * @param nowNanos monotonic time
   */
  public void receive(Collection<MemberStatement> received, long nowNanos) {
    for (MemberStatement statement : received) {
      if (statement.vm().equals(own.vm())) {
        acceptOrRefute(statement, nowNanos);
        continue;
      }
      MemberStatement known = statements.get(statement.vm());
      if (known == null || statement.replaces(known)) {
        put(statement, nowNanos);
      } else if (statement.addsAccusers(known)) {
        put(known.withAccusers(statement.accusers()), changedAtNanos.get(known.vm()));
      }
    }
  }

  private void acceptOrRefute(MemberStatement statement, long nowNanos) {
    boolean currentIncarnation =
        statement.identity().incarnation() == own.identity().incarnation()
            && statement.number() >= own.number();
    if (currentIncarnation && statement.phase() != own.phase()) {
      // The platform's VM list may mark this VM as leaving; that is accepted, not refuted.
      MemberPhase phase =
          statement.phase() == MemberPhase.LEAVING ? MemberPhase.LEAVING : own.phase();
      own = MemberStatement.own(own.identity(), phase, statement.number() + 1);
      put(own, nowNanos);
    }
  }

  /**
   * Marks this process as leaving. This is final for its incarnation.
   *
   * @param nowNanos monotonic time
   */
  public void leave(long nowNanos) {
    own = MemberStatement.own(own.identity(), MemberPhase.LEAVING, own.number() + 1);
    put(own, nowNanos);
  }

  /**
   * Marks alive members as leaving, according to the platform's VM list.
   *
   * @param vms names of the VMs; unknown VMs are ignored
   * @param nowNanos monotonic time
   */
  public void markLeaving(Collection<String> vms, long nowNanos) {
    for (String vm : vms) {
      MemberStatement known = statements.get(vm);
      if (known != null && known.phase() == MemberPhase.ALIVE) {
        receive(List.of(known.withPhase(MemberPhase.LEAVING)), nowNanos);
      }
    }
  }

  /**
   * Records that a member responded to a probe.
   *
   * @param vm name of the member
   */
  public void probeAnswered(String vm) {
    health.probeAnswered(vm);
  }

  /**
   * Records that a member did not respond to a probe.
   *
   * @param vm name of the member
   * @param nowNanos monotonic time
   */
  public void probeFailed(String vm, long nowNanos) {
    health.probeFailed(vm, nowNanos);
  }

  /**
   * Returns the members to probe in a tick. Normally this is one of the observed members, in turn.
   * While one of them does not respond, it is all of them, to find out whether the fault is on the
   * side of this process.
   *
   * @param tick number of the tick
   * @return members of the same data centre
   */
  public List<VmIdentity> probeTargets(long tick) {
    List<VmIdentity> subjects = topology().subjects(own.vm());
    if (subjects.isEmpty() || health.isAnyUnresponsive()) {
      return subjects;
    }
    return List.of(subjects.get((int) (tick % subjects.size())));
  }

  /**
   * Accuses members that do not respond, declares suspects dead after the suspicion time and
   * removes dead members after the retention time. Skips this while the probes of this process are
   * unreliable; only leaving members that stopped are still declared dead.
   *
   * @param nowNanos monotonic time
   */
  public void tick(long nowNanos) {
    health.tick(nowNanos);
    Set<String> subjects = new java.util.TreeSet<>();
    topology().subjects(own.vm()).forEach(subject -> subjects.add(subject.vm()));
    boolean reliable = health.isReliable(nowNanos, subjects);
    markStoppedLeaversDead(nowNanos);
    if (!reliable) {
      return;
    }
    for (String vm : health.unresponsive(nowNanos)) {
      accuse(statements.get(vm), nowNanos);
    }
    for (MemberStatement statement : List.copyOf(statements.values())) {
      applyTimeouts(statement, nowNanos);
    }
  }

  /**
   * Declares leaving members dead that no longer respond. They have stopped as announced, so no
   * second observer is needed.
   */
  private void markStoppedLeaversDead(long nowNanos) {
    for (String vm : health.unresponsive(nowNanos)) {
      MemberStatement known = statements.get(vm);
      boolean suspicionTimePassed = nowNanos - changedAtNanos.get(vm) >= timing.suspicionNanos();
      if (known.phase() == MemberPhase.LEAVING && suspicionTimePassed) {
        put(known.withPhase(MemberPhase.DEAD), nowNanos);
      }
    }
  }

  private void accuse(MemberStatement known, long nowNanos) {
    boolean deadOrLeaving =
        known.phase() == MemberPhase.DEAD || known.phase() == MemberPhase.LEAVING;
    if (deadOrLeaving || known.accusers().contains(own.vm())) {
      return;
    }
    boolean alreadySuspect = known.phase() == MemberPhase.SUSPECT;
    put(
        known.withAccusers(Set.of(own.vm())),
        alreadySuspect ? changedAtNanos.get(known.vm()) : nowNanos);
  }

  private void applyTimeouts(MemberStatement statement, long nowNanos) {
    long age = nowNanos - changedAtNanos.get(statement.vm());
    if (statement.phase() == MemberPhase.SUSPECT && age >= timing.suspicionNanos()) {
      int needed = Math.min(MIN_ACCUSERS, topology().observerCount(statement.vm()));
      if (needed > 0 && statement.accusers().size() >= needed) {
        put(statement.withPhase(MemberPhase.DEAD), nowNanos);
      }
    } else if (statement.phase() == MemberPhase.DEAD && age >= timing.retentionNanos()) {
      digest ^= statements.remove(statement.vm()).fingerprint();
      changedAtNanos.remove(statement.vm());
      updates.remove(statement.vm());
      version++;
    }
  }

  /**
   * Returns statements to attach to a message, those that were sent least often first. Each is
   * returned a limited number of times.
   *
   * @param limit maximum number of statements
   * @return the statements
   */
  public List<MemberStatement> takeUpdates(int limit) {
    return updates.take(limit, statements);
  }

  /**
   * Returns a page of the table, for a peer whose table differs.
   *
   * @param afterVm VM name after which the page starts; empty for the first page
   * @param limit maximum number of statements
   * @return the statements after that name, sorted by VM name; fewer than the limit at the end of
   *     the table, after which the caller starts again with the first page
   */
  public List<MemberStatement> page(String afterVm, int limit) {
    List<MemberStatement> page = new ArrayList<>();
    for (Map.Entry<String, MemberStatement> entry : statements.entrySet()) {
      if (entry.getKey().compareTo(afterVm) > 0 && page.size() < limit) {
        page.add(entry.getValue());
      }
    }
    return page;
  }

  private void put(MemberStatement statement, long sinceNanos) {
    MemberStatement previous = statements.put(statement.vm(), statement);
    if (previous != null) {
      digest ^= previous.fingerprint();
    }
    digest ^= statement.fingerprint();
    changedAtNanos.put(statement.vm(), sinceNanos);
    updates.add(statement.vm());
    topology = null;
    version++;
  }
}
