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

  private void startThreeDataCentres() {
    fleet.addDataCentre("a", 3, 9);
    fleet.addDataCentre("b", 3, 9);
    fleet.addDataCentre("c", 3, 9);
    fleet.runSeconds(15);
    fleet.runningVms("").forEach(vm -> assertThat(aliveCount(vm, "")).as(vm).isEqualTo(36));
  }

  private long aliveCount(String observer, String prefix) {
    return fleet.count(observer, prefix, MemberPhase.ALIVE);
  }

  @Nested
  class Failure {
    /** Guards against a dead member that is not detected, or only by its observers. */
    @Test
    void isDetectedByAllMembers() {
      startThreeDataCentres();
      fleet.stop("a-endpoint-5");
      fleet.runSeconds(30);
      fleet
          .runningVms("")
          .forEach(vm -> assertThat(fleet.count(vm, "a-endpoint-5", MemberPhase.DEAD)).isOne());
      fleet.runningVms("").forEach(vm -> assertThat(aliveCount(vm, "")).isEqualTo(35));
    }

    /** Guards against a member being declared dead by one observer whose link to it is broken. */
    @Test
    void needsTwoObservers() {
      startThreeDataCentres();
      String subject = fleet.table("a-entry-0").topology().subjects("a-entry-0").get(0).vm();
      fleet.breakLink("a-entry-0", subject);
      for (int i = 0; i < 120; i++) {
        fleet.runSeconds(1);
        assertThat(fleet.count("a-entry-1", subject, MemberPhase.DEAD)).isZero();
        assertThat(fleet.count("a-entry-0", subject, MemberPhase.DEAD)).isZero();
      }
      assertThat(fleet.table(subject).ownStatement().number()).as("refutations").isGreaterThan(1);
    }

    /** Guards against declaring a member dead on one accusation if its refutation is late. */
    @Test
    void waitsForTheSecondAccuser() {
      startThreeDataCentres();
      MembershipTable table = fleet.table("b-entry-1");
      VmIdentity subject = fleet.table("a-endpoint-5").ownStatement().identity();
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

    /** Guards against a late ALIVE statement that adds a dead member again. */
    @Test
    void isNotUndoneByLateStatements() {
      startThreeDataCentres();
      final MemberStatement late = fleet.table("a-endpoint-5").ownStatement();
      fleet.stop("a-endpoint-5");
      fleet.runSeconds(30);
      fleet.table("b-entry-1").receive(List.of(late), fleet.time().nanoTime());
      fleet.runSeconds(5);
      assertThat(aliveCount("b-entry-1", "a-endpoint-5")).isZero();
    }

    /** Guards against mistaking a restarted VM for its earlier incarnation. */
    @Test
    void endsWithHigherIncarnationOfMember() {
      startThreeDataCentres();
      fleet.stop("a-endpoint-5");
      fleet.runSeconds(30);
      fleet.add(SimulatedFleet.identity("a-endpoint-5", VmRole.ENDPOINT, "a", 2), "a-entry-0");
      fleet.runSeconds(20);
      fleet.runningVms("").forEach(vm -> assertThat(aliveCount(vm, "a-endpoint-5")).as(vm).isOne());
    }
  }

  @Nested
  class Observer {
    /** Guards against a process that declares its data centre dead after a pause. */
    @Test
    void accusesNoMemberAfterPause() {
      startThreeDataCentres();
      fleet.pause("a-entry-0");
      fleet.runSeconds(60);
      MembershipTable table = fleet.table("a-entry-0");
      table.topology().subjects("a-entry-0").forEach(subject -> table.probeFailed(subject.vm(), 0));
      fleet.resume("a-entry-0");
      fleet.runSeconds(2);
      assertThat(fleet.count("a-entry-0", "", MemberPhase.DEAD)).isZero();
      fleet.runSeconds(20);
      fleet.runningVms("").forEach(vm -> assertThat(aliveCount(vm, "")).as(vm).isEqualTo(36));
    }

    /** Guards against accusations by a process that gets too little processor time. */
    @Test
    void accusesNoMemberDuringRepeatedPauses() {
      startThreeDataCentres();
      String subject = fleet.table("a-entry-0").topology().subjects("a-entry-0").get(0).vm();
      fleet.breakLink("a-entry-0", subject);
      for (int i = 0; i < 20; i++) {
        fleet.pause("a-entry-0");
        fleet.runSeconds(4);
        fleet.resume("a-entry-0");
        for (int second = 0; second < 5; second++) {
          fleet.runSeconds(1);
          assertThat(fleet.table("a-entry-0").allStatements())
              .noneMatch(statement -> statement.accusers().contains("a-entry-0"));
        }
      }
    }

    /** Guards against a partitioned process that declares all other members dead. */
    @Test
    void accusesNoMemberDuringPartition() {
      startThreeDataCentres();
      fleet.moveToPartition(List.of("a-entry-0"), 1);
      for (int i = 0; i < 120; i++) {
        fleet.runSeconds(1);
        assertThat(aliveCount("a-entry-0", "")).isEqualTo(36);
      }
      fleet.moveToPartition(List.of("a-entry-0"), 0);
      fleet.runSeconds(40);
      fleet.runningVms("").forEach(vm -> assertThat(aliveCount(vm, "")).as(vm).isEqualTo(36));
    }
  }

  @Nested
  class Partition {
    /** Guards against data centres that declare each other dead during a partition. */
    @Test
    void ofDataCentreKeepsMembersAliveAndHeals() {
      startThreeDataCentres();
      fleet.moveToPartition(fleet.runningVms("c-"), 1);
      fleet.runSeconds(3600);
      assertThat(aliveCount("a-entry-0", "c-")).isEqualTo(12);
      assertThat(aliveCount("c-entry-0", "a-")).isEqualTo(12);
      fleet.moveToPartition(fleet.runningVms("c-"), 0);
      fleet.stop("c-endpoint-7");
      fleet.runSeconds(60);
      fleet.runningVms("").forEach(vm -> assertThat(aliveCount(vm, "")).as(vm).isEqualTo(35));
    }

    /** Guards against losing a data centre when all its entry VMs are replaced in an outage. */
    @Test
    void isNotCausedByReplacingAllEntryVms() {
      startThreeDataCentres();
      for (int i = 0; i < 3; i++) {
        String vm = "b-entry-" + i;
        fleet.add(
            SimulatedFleet.identity("b-new-" + i, VmRole.ENTRY, "b", 1), "b-endpoint-" + (3 + i));
        fleet.stop(vm);
        fleet.runSeconds(20);
      }
      fleet.runSeconds(30);
      fleet.runningVms("").forEach(vm -> assertThat(aliveCount(vm, "")).as(vm).isEqualTo(36));
      VmIdentity newEntryVm = fleet.table("b-new-0").ownStatement().identity();
      assertThat(fleet.table("a-entry-0").topology().remoteEntryVms(newEntryVm)).hasSize(2);
    }
  }

  /** Guards against a leaving member that is treated as available for work again. */
  @Test
  void leavingIsFinal() {
    startThreeDataCentres();
    fleet.table("a-endpoint-5").leave(fleet.time().nanoTime());
    fleet.runSeconds(15);
    fleet
        .runningVms("")
        .forEach(vm -> assertThat(fleet.count(vm, "a-endpoint-5", MemberPhase.LEAVING)).isOne());
    fleet.stop("a-endpoint-5");
    fleet.runSeconds(30);
    fleet
        .runningVms("")
        .forEach(vm -> assertThat(fleet.count(vm, "a-endpoint-5", MemberPhase.DEAD)).isOne());
  }

  /** Guards against a VM that refutes the platform's VM list, which marks it as leaving. */
  @Test
  void leavingPhaseFromVmListIsNotRefuted() {
    startThreeDataCentres();
    fleet.table("a-entry-0").markLeaving(Set.of("a-endpoint-5"), fleet.time().nanoTime());
    fleet.runSeconds(15);
    assertThat(fleet.table("a-endpoint-5").ownStatement().phase()).isEqualTo(MemberPhase.LEAVING);
    assertThat(fleet.count("c-entry-0", "a-endpoint-5", MemberPhase.LEAVING)).isOne();
  }

  /** Guards against members without observers and against load that grows with the fleet. */
  @Test
  void topologyCoversTheDesignSize() {
    Map<String, VmIdentity> members = new HashMap<>();
    for (int i = 0; i < 1100; i++) {
      VmRole role = i < 56 ? VmRole.ENTRY : VmRole.ENDPOINT;
      VmIdentity identity = SimulatedFleet.identity("vm-" + i, role, "dc-" + i % 7, 1);
      members.put(identity.vm(), identity);
    }
    MembershipTopology topology = new MembershipTopology(members.values());
    long watchers = members.values().stream().filter(topology::isWatcher).count();
    assertThat(watchers).isEqualTo(7 * MembershipTopology.WATCHERS);
    for (VmIdentity member : members.values()) {
      assertThat(topology.observerCount(member.vm())).isBetween(1, MembershipTopology.RINGS);
      assertThat(topology.subjects(member.vm()))
          .hasSizeBetween(1, MembershipTopology.RINGS)
          .allMatch(subject -> subject.dataCentre().equals(member.dataCentre()));
      assertThat(topology.remoteEntryVms(member))
          .hasSize(6)
          .allMatch(remote -> remote.role() == VmRole.ENTRY);
    }
  }
}
