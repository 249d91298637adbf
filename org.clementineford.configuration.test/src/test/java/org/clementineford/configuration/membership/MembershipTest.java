package org.clementineford.configuration.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MembershipTest {
  private final SimulatedFleet fleet = new SimulatedFleet();

  private void threeDataCentres() {
    fleet.addDataCentre("a", 3, 9);
    fleet.addDataCentre("b", 3, 9);
    fleet.addDataCentre("c", 3, 9);
    fleet.seconds(15);
    fleet.names("").forEach(vm -> assertThat(alive(vm, "")).as(vm).isEqualTo(36));
  }

  private long alive(String observer, String prefix) {
    return fleet.count(observer, prefix, MemberPhase.ALIVE);
  }

  @Nested
  class Failure {
    /** Guards against a dead member that is never noticed, or only by its observers. */
    @Test
    void isKnownEverywhere() {
      threeDataCentres();
      fleet.stop("a-endpoint-5");
      fleet.seconds(30);
      fleet
          .names("")
          .forEach(vm -> assertThat(fleet.count(vm, "a-endpoint-5", MemberPhase.DEAD)).isOne());
      fleet.names("").forEach(vm -> assertThat(alive(vm, "")).isEqualTo(35));
    }

    /** Guards against one observer with a broken link to a member that declares it dead. */
    @Test
    void needsTwoObservers() {
      threeDataCentres();
      String subject = fleet.table("a-entry-0").plan().subjects("a-entry-0").get(0).vm();
      fleet.breakLink("a-entry-0", subject);
      for (int i = 0; i < 120; i++) {
        fleet.seconds(1);
        assertThat(fleet.count("a-entry-1", subject, MemberPhase.DEAD)).isZero();
        assertThat(fleet.count("a-entry-0", subject, MemberPhase.DEAD)).isZero();
      }
      assertThat(fleet.table(subject).own().number()).as("refutations").isGreaterThan(1);
    }

    /** Guards against a death that only one observer vouches for, if the refutation is late. */
    @Test
    void waitsForTheSecondAccuser() {
      threeDataCentres();
      MembershipTable table = fleet.table("b-entry-1");
      VmIdentity subject = fleet.table("a-endpoint-5").own().identity();
      accuse(table, subject, "a-entry-0");
      assertThat(fleet.count("b-entry-1", subject.vm(), MemberPhase.SUSPECT)).isOne();
      accuse(table, subject, "a-entry-1");
      assertThat(fleet.count("b-entry-1", subject.vm(), MemberPhase.DEAD)).isOne();
    }

    private void accuse(MembershipTable table, VmIdentity subject, String accuser) {
      table.receive(
          List.of(new MemberStatement(subject, MemberPhase.SUSPECT, 1, Set.of(accuser))),
          fleet.time().nanoTime());
      for (int i = 0; i < 60; i++) {
        fleet.time().advance(1, TimeUnit.SECONDS);
        table.tick(fleet.time().nanoTime());
      }
    }

    /** Guards against a late "alive" that brings a dead member back. */
    @Test
    void isNotUndoneByLateStatements() {
      threeDataCentres();
      final MemberStatement late = fleet.table("a-endpoint-5").own();
      fleet.stop("a-endpoint-5");
      fleet.seconds(30);
      fleet.table("b-entry-1").receive(List.of(late), fleet.time().nanoTime());
      fleet.seconds(5);
      assertThat(alive("b-entry-1", "a-endpoint-5")).isZero();
    }

    /** Guards against taking a restarted VM for its earlier life. */
    @Test
    void endsWithHigherIncarnation() {
      threeDataCentres();
      fleet.stop("a-endpoint-5");
      fleet.seconds(30);
      fleet.add(SimulatedFleet.identity("a-endpoint-5", VmRole.ENDPOINT, "a", 2), "a-entry-0");
      fleet.seconds(20);
      fleet.names("").forEach(vm -> assertThat(alive(vm, "a-endpoint-5")).as(vm).isOne());
    }
  }

  @Nested
  class Observer {
    /** Guards against a process that was paused and then marks its data centre dead. */
    @Test
    void thatWasPausedAccusesNobody() {
      threeDataCentres();
      fleet.pause("a-entry-0");
      fleet.seconds(60);
      MembershipTable table = fleet.table("a-entry-0");
      table.plan().subjects("a-entry-0").forEach(subject -> table.failed(subject.vm(), 0));
      fleet.resume("a-entry-0");
      fleet.seconds(2);
      assertThat(fleet.count("a-entry-0", "", MemberPhase.DEAD)).isZero();
      fleet.seconds(20);
      fleet.names("").forEach(vm -> assertThat(alive(vm, "")).as(vm).isEqualTo(36));
    }

    /** Guards against a process that gets too little processor time and accuses others for it. */
    @Test
    void thatIsPausedAgainAndAgainAccusesNobody() {
      threeDataCentres();
      String subject = fleet.table("a-entry-0").plan().subjects("a-entry-0").get(0).vm();
      fleet.breakLink("a-entry-0", subject);
      for (int i = 0; i < 20; i++) {
        fleet.pause("a-entry-0");
        fleet.seconds(4);
        fleet.resume("a-entry-0");
        for (int second = 0; second < 5; second++) {
          fleet.seconds(1);
          assertThat(fleet.table("a-entry-0").all())
              .noneMatch(statement -> statement.accusers().contains("a-entry-0"));
        }
      }
    }

    /** Guards against a cut-off process that marks everybody dead. */
    @Test
    void thatWasCutOffAccusesNobody() {
      threeDataCentres();
      fleet.cut(List.of("a-entry-0"), 1);
      for (int i = 0; i < 120; i++) {
        fleet.seconds(1);
        assertThat(alive("a-entry-0", "")).isEqualTo(36);
      }
      fleet.cut(List.of("a-entry-0"), 0);
      fleet.seconds(40);
      fleet.names("").forEach(vm -> assertThat(alive(vm, "")).as(vm).isEqualTo(36));
    }
  }

  @Nested
  class Partition {
    /** Guards against two data centres that take each other for dead while they are cut off. */
    @Test
    void ofOneDataCentreForLongChangesNothingAndHeals() {
      threeDataCentres();
      fleet.cut(fleet.names("c-"), 1);
      fleet.seconds(3600);
      assertThat(alive("a-entry-0", "c-")).isEqualTo(12);
      assertThat(alive("c-entry-0", "a-")).isEqualTo(12);
      fleet.cut(fleet.names("c-"), 0);
      fleet.stop("c-endpoint-7");
      fleet.seconds(60);
      fleet.names("").forEach(vm -> assertThat(alive(vm, "")).as(vm).isEqualTo(35));
    }

    /** Guards against losing a data centre whose entry VMs are all replaced during an outage. */
    @Test
    void isNotCausedByReplacingAllEntryVms() {
      threeDataCentres();
      for (int i = 0; i < 3; i++) {
        String vm = "b-entry-" + i;
        fleet.add(
            SimulatedFleet.identity("b-new-" + i, VmRole.ENTRY, "b", 1), "b-endpoint-" + (3 + i));
        fleet.stop(vm);
        fleet.seconds(20);
      }
      fleet.seconds(30);
      fleet.names("").forEach(vm -> assertThat(alive(vm, "")).as(vm).isEqualTo(36));
      VmIdentity newcomer = fleet.table("b-new-0").own().identity();
      assertThat(fleet.table("a-entry-0").plan().remoteEntries(newcomer)).hasSize(2);
    }
  }

  /** Guards against a leaving member that counts as one that takes work again. */
  @Test
  void leavingIsFinal() {
    threeDataCentres();
    fleet.table("a-endpoint-5").leave(fleet.time().nanoTime());
    fleet.seconds(15);
    fleet
        .names("")
        .forEach(vm -> assertThat(fleet.count(vm, "a-endpoint-5", MemberPhase.LEAVING)).isOne());
    fleet.stop("a-endpoint-5");
    fleet.seconds(30);
    fleet
        .names("")
        .forEach(vm -> assertThat(fleet.count(vm, "a-endpoint-5", MemberPhase.DEAD)).isOne());
  }

  /** Guards against a VM that refutes what the platform's VM list says about it. */
  @Test
  void leavingByTheVmListIsNotRefuted() {
    threeDataCentres();
    fleet.table("a-entry-0").markLeaving(Set.of("a-endpoint-5"), fleet.time().nanoTime());
    fleet.seconds(15);
    assertThat(fleet.table("a-endpoint-5").own().phase()).isEqualTo(MemberPhase.LEAVING);
    assertThat(fleet.count("c-entry-0", "a-endpoint-5", MemberPhase.LEAVING)).isOne();
  }

  /** Guards against members without observers and against load that grows with the fleet. */
  @Test
  void planCoversTheDesignSize() {
    Map<String, VmIdentity> members = new HashMap<>();
    for (int i = 0; i < 1100; i++) {
      VmRole role = i < 56 ? VmRole.ENTRY : VmRole.ENDPOINT;
      VmIdentity identity = SimulatedFleet.identity("vm-" + i, role, "dc-" + i % 7, 1);
      members.put(identity.vm(), identity);
    }
    SpreadPlan plan = new SpreadPlan(members.values());
    long watchers = members.values().stream().filter(plan::isWatcher).count();
    assertThat(watchers).isEqualTo(7 * SpreadPlan.WATCHERS);
    for (VmIdentity member : members.values()) {
      assertThat(plan.observerCount(member.vm())).isBetween(1, SpreadPlan.RINGS);
      assertThat(plan.subjects(member.vm()))
          .hasSizeBetween(1, SpreadPlan.RINGS)
          .allMatch(subject -> subject.dataCentre().equals(member.dataCentre()));
      assertThat(plan.remoteEntries(member))
          .hasSize(6)
          .allMatch(remote -> remote.role() == VmRole.ENTRY);
    }
  }
}
