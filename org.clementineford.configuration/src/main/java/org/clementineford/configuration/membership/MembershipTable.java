package org.clementineford.configuration.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.clementineford.kernel.VmIdentity;

/**
 * What one process believes about all members. Not thread-safe; time is an argument.
 *
 * <p>Statements spread by attaching the newest ones to messages a limited number of times. A member
 * that does not answer becomes a suspect and can refute that by raising its statement number. It
 * counts as dead when two of its observers, or its only one, accuse it for the suspicion time.
 * Source: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
 * Group Membership Protocol", DSN 2002; the confirmation by several observers follows Rapid (see
 * {@link SpreadPlan}).
 */
public final class MembershipTable {
  private static final int NEEDED_ACCUSERS = 2;

  private final MembershipTiming timing;
  private final Map<String, MemberStatement> statements = new TreeMap<>();
  private final Map<String, Long> changedAtNanos = new TreeMap<>();
  private final ObserverHealth health;
  private final UpdateQueue updates = new UpdateQueue();
  private MemberStatement own;
  private SpreadPlan plan;
  private long digest;
  private long version;

  /**
   * Creates a table that holds only this process.
   *
   * @param self identity of this process
   * @param timing times of the failure detection
   */
  public MembershipTable(VmIdentity self, MembershipTiming timing) {
    this.timing = timing;
    this.health =
        new ObserverHealth(
            timing.longestTickNanos(), timing.suspicionNanos(), timing.confirmationNanos());
    this.own = MemberStatement.own(self, MemberPhase.ALIVE, 1);
    put(own, 0);
  }

  /**
   * Returns all statements, including those about dead members.
   *
   * @return statements in the order of the VM names
   */
  public List<MemberStatement> all() {
    return List.copyOf(statements.values());
  }

  /**
   * Returns a suspicion or death of which a peer should hear, so that it can refute it.
   *
   * @param vm name of the peer
   * @return the statement, or an empty list if the peer counts as alive or leaving
   */
  public List<MemberStatement> toRefute(String vm) {
    MemberStatement known = statements.get(vm);
    boolean doubted =
        known != null && known.phase().compareTo(MemberPhase.SUSPECT) >= 0 && known != own;
    return doubted ? List.of(known) : List.of();
  }

  /**
   * Returns the statement of this process about itself.
   *
   * @return the statement
   */
  public MemberStatement own() {
    return own;
  }

  /**
   * Returns a number that rises with each change of the table.
   *
   * @return the number
   */
  public long version() {
    return version;
  }

  /**
   * Returns a hash over all statements, for comparing the tables of two processes.
   *
   * @return equal for tables with equal statements
   */
  public long digest() {
    return digest;
  }

  /**
   * Returns who watches, observes and announces among the members that are not dead.
   *
   * @return the plan for the current table
   */
  public SpreadPlan plan() {
    if (plan == null) {
      plan =
          new SpreadPlan(
              statements.values().stream()
                  .filter(statement -> statement.phase() != MemberPhase.DEAD)
                  .map(MemberStatement::identity)
                  .toList());
    }
    return plan;
  }

  /**
   * Takes in received statements.
   *
   * @param received statements of a peer
   * @param nowNanos monotonic time
   */
  public void receive(Collection<MemberStatement> received, long nowNanos) {
    for (MemberStatement statement : received) {
      if (statement.vm().equals(own.vm())) {
        defend(statement, nowNanos);
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

  private void defend(MemberStatement statement, long nowNanos) {
    boolean sameLife =
        statement.identity().incarnation() == own.identity().incarnation()
            && statement.number() >= own.number();
    if (sameLife && statement.phase() != own.phase()) {
      // The platform's VM list may say that this VM leaves; that is not a suspicion to refute.
      MemberPhase phase =
          statement.phase() == MemberPhase.LEAVING ? MemberPhase.LEAVING : own.phase();
      own = MemberStatement.own(own.identity(), phase, statement.number() + 1);
      put(own, nowNanos);
    }
  }

  /**
   * States that this process leaves. It never returns in this incarnation.
   *
   * @param nowNanos monotonic time
   */
  public void leave(long nowNanos) {
    own = MemberStatement.own(own.identity(), MemberPhase.LEAVING, own.number() + 1);
    put(own, nowNanos);
  }

  /**
   * States that members leave, as the platform's VM list says.
   *
   * @param vms names of the VMs; unknown ones are ignored
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
   * Records that a member answered a probe.
   *
   * @param vm name of the member
   */
  public void answered(String vm) {
    health.answered(vm);
  }

  /**
   * Records that a member did not answer a probe.
   *
   * @param vm name of the member
   * @param nowNanos monotonic time
   */
  public void failed(String vm, long nowNanos) {
    health.failed(vm, nowNanos);
  }

  /**
   * Returns the members to probe in a tick: one in turn, or all that this process observes while
   * one of them is silent, to find out whether the fault is on this side.
   *
   * @param tick number of the tick
   * @return members of this data centre
   */
  public List<VmIdentity> probes(long tick) {
    List<VmIdentity> subjects = plan().subjects(own.vm());
    if (subjects.isEmpty() || health.isAnySilent()) {
      return subjects;
    }
    return List.of(subjects.get((int) (tick % subjects.size())));
  }

  /**
   * Accuses silent members, unless this process must doubt itself, and ends suspicions whose time
   * has run out.
   *
   * @param nowNanos monotonic time
   */
  public void tick(long nowNanos) {
    health.tick(nowNanos);
    Set<String> subjects = new java.util.TreeSet<>();
    plan().subjects(own.vm()).forEach(subject -> subjects.add(subject.vm()));
    boolean trusted = health.isTrusted(nowNanos, subjects);
    endLeaving(nowNanos);
    if (!trusted) {
      return;
    }
    for (String vm : health.silent(nowNanos)) {
      accuse(statements.get(vm), nowNanos);
    }
    for (MemberStatement statement : List.copyOf(statements.values())) {
      expire(statement, nowNanos);
    }
  }

  /** A silent member that said that it leaves has stopped; no second observer is needed. */
  private void endLeaving(long nowNanos) {
    for (String vm : health.silent(nowNanos)) {
      MemberStatement known = statements.get(vm);
      boolean longAgo = nowNanos - changedAtNanos.get(vm) >= timing.suspicionNanos();
      if (known.phase() == MemberPhase.LEAVING && longAgo) {
        put(known.withPhase(MemberPhase.DEAD), nowNanos);
      }
    }
  }

  private void accuse(MemberStatement known, long nowNanos) {
    boolean settled = known.phase() == MemberPhase.DEAD || known.phase() == MemberPhase.LEAVING;
    if (settled || known.accusers().contains(own.vm())) {
      return;
    }
    boolean continued = known.phase() == MemberPhase.SUSPECT;
    put(
        known.withAccusers(Set.of(own.vm())),
        continued ? changedAtNanos.get(known.vm()) : nowNanos);
  }

  private void expire(MemberStatement statement, long nowNanos) {
    long age = nowNanos - changedAtNanos.get(statement.vm());
    if (statement.phase() == MemberPhase.SUSPECT && age >= timing.suspicionNanos()) {
      int needed = Math.min(NEEDED_ACCUSERS, plan().observerCount(statement.vm()));
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
   * Returns statements to attach to a message: the newest first, each a limited number of times.
   *
   * @param limit largest number of statements
   * @return the statements
   */
  public List<MemberStatement> takeUpdates(int limit) {
    return updates.take(limit, statements);
  }

  /**
   * Returns a page of the table, for a peer whose table differs.
   *
   * @param afterVm name after which the page starts; empty for the first page
   * @param limit largest number of statements
   * @return statements in the order of the VM names; starts again at the first name when the end is
   *     reached
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
    plan = null;
    version++;
  }
}
