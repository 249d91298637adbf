package org.clementineford.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.clementineford.configuration.Document;
import org.clementineford.configuration.DocumentEdit;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.kernel.timeline.TimelineEvent;
import org.clementineford.node.internal.ConfigurationAgent;
import org.clementineford.node.internal.MembershipAgent;
import org.clementineford.node.internal.StoredRevision;
import org.clementineford.standins.StandInFaultKind;
import org.clementineford.transport.PeerNetwork;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class NodeTest {
  private TestFleet fleet;

  @BeforeEach
  void open() throws Exception {
    fleet = new TestFleet();
  }

  @AfterEach
  void close() {
    fleet.close();
  }

  @Nested
  class PlatformOutage {
    /** Guards against a change that spreads only through the platform, and so only to watchers. */
    @Test
    void doesNotStopTheSpreadOfAcceptedChanges() throws Exception {
      final Node first = fleet.entry("entry-1", "a");
      final Node second = fleet.entry("entry-2", "a", first);
      final Node endpoint = fleet.endpoint("endpoint-1", "a", first);
      final Node remote = fleet.entry("entry-3", "b", first);
      assertThat(fleet.advanceUntil(() -> hasMembers(first, 4) && hasMembers(remote, 4))).isTrue();
      fleet.apply(first, TestFleet.edit("c1", 0, "v1")).get();
      fleet.platform.faults().set(StandInFaultKind.OUTAGE);
      assertThat(fleet.advanceUntilRevision(1, second, endpoint, remote)).isTrue();
    }

    /** Guards against a process that starts during an outage without a configuration. */
    @Test
    void letsNewProcessesStartFromPeers() throws Exception {
      final Node first = fleet.entry("entry-1", "a");
      fleet.apply(first, TestFleet.edit("c1", 0, "v1")).get();
      fleet.platform.faults().set(StandInFaultKind.OUTAGE);
      final Node endpoint = fleet.endpoint("endpoint-1", "a", first);
      assertThat(fleet.advanceUntilRevision(1, endpoint)).isTrue();
      assertThat(endpoint.context().configuration().current().models()).containsKey("assistant");
    }

    /** Guards against losing the configuration when all entry VMs are replaced during an outage. */
    @Test
    void doesNotLoseTheConfigurationWhenEntryVmsAreReplaced() throws Exception {
      final Node first = fleet.entry("entry-1", "a");
      final Node endpoint = fleet.endpoint("endpoint-1", "a", first);
      fleet.apply(first, TestFleet.edit("c1", 0, "v1")).get();
      assertThat(fleet.advanceUntilRevision(1, endpoint)).isTrue();
      fleet.platform.faults().set(StandInFaultKind.OUTAGE);
      fleet.stop(first);
      final Node replacement = fleet.entry("entry-9", "a", endpoint);
      assertThat(fleet.advanceUntilRevision(1, replacement)).isTrue();
    }

    /** Guards against reporting a change as made, or as unknown, that was never sent. */
    @Test
    void makesChangesFailAsUnavailable() throws Exception {
      final Node first = fleet.entry("entry-1", "a");
      fleet.platform.faults().set(StandInFaultKind.OUTAGE);
      assertThat(failure(first, TestFleet.edit("c1", 0, "v1"))).isEqualTo(ErrorKind.UNAVAILABLE);
    }

    private ErrorKind failure(Node node, DocumentEdit edit) throws Exception {
      try {
        fleet.apply(node, edit).get();
        return null;
      } catch (ExecutionException e) {
        return ((ClementinefordException) e.getCause()).kind();
      }
    }
  }

  @Nested
  class PlatformFault {
    /** Guards against a change that is applied twice, or reported wrongly, after a lost reply. */
    @Test
    void lostReplyAppliesTheChangeOnce() throws Exception {
      final Node first = fleet.entry("entry-1", "a");
      fleet.advanceUntil(() -> first.context().lease().fencingNumber().isPresent());
      fleet.platform.faults().set(StandInFaultKind.LOST_REPLY);
      DocumentEdit.Result result = fleet.apply(first, TestFleet.edit("c1", 0, "v1")).get();
      assertThat(result.change().revision()).isEqualTo(1);
      assertThat(fleet.advanceUntilRevision(1, first)).isTrue();
    }

    /** Guards against a configuration that reverts when the platform returns an old copy. */
    @Test
    void staleReadDoesNotRevertTheConfiguration() throws Exception {
      final Node first = fleet.entry("entry-1", "a");
      final Node second = fleet.entry("entry-2", "a", first);
      final List<Long> seen = new ArrayList<>();
      second.context().configuration().onChange(snapshot -> seen.add(snapshot.revision()));
      fleet.apply(first, TestFleet.edit("c1", 0, "v1")).get();
      fleet.apply(first, TestFleet.edit("c2", 1, "v2")).get();
      fleet.advanceUntilRevision(2, first, second);
      fleet.platform.faults().setNext(StandInFaultKind.STALE_READ, 5);
      fleet.apply(first, TestFleet.edit("c3", 2, "v3")).get();
      assertThat(fleet.advanceUntilRevision(3, first, second)).isTrue();
      assertThat(seen).isSorted().doesNotHaveDuplicates();
    }

    /** Guards against putting a damaged document into force. */
    @Test
    void damagedDocumentIsRefused() throws Exception {
      final Node first = fleet.entry("entry-1", "a");
      fleet.apply(first, TestFleet.edit("c1", 0, "v1")).get();
      var store = first.context().objectStore();
      long version = store.get(Document.OBJECT_KEY).get().get().version();
      store.update(Document.OBJECT_KEY, version, "damaged".getBytes(StandardCharsets.UTF_8)).get();
      new StoredRevision(store).raise(2).get();
      assertThat(fleet.advanceUntil(() -> hasEvent(first, EventKind.REVISION_REFUSED))).isTrue();
      assertThat(TestFleet.revision(first)).isEqualTo(1);
    }
  }

  @Nested
  class Membership {
    /** Guards against taking a replacement VM whose clock is behind for the VM it replaces. */
    @Test
    void givesReplacementsWithOldClocksHigherIncarnations() throws Exception {
      final Node first = fleet.entry("entry-1", "a");
      final Node old = fleet.endpoint("endpoint-1", "a", first);
      assertThat(fleet.advanceUntil(() -> hasMembers(first, 2))).isTrue();
      fleet.stop(old);
      long earlier = TestFleet.EPOCH_MS - 600_000;
      final Node replacement =
          fleet.start("endpoint-1", VmRole.ENDPOINT, "a", earlier, -600_000, first);
      assertThat(replacement.context().self().incarnation()).isEqualTo(TestFleet.EPOCH_MS + 1);
      assertThat(fleet.advanceUntil(() -> phase(first, "endpoint-1") == MembershipView.Phase.ALIVE))
          .isTrue();
    }

    /** Guards against giving work to a process that is stopping. */
    @Test
    void showsStoppingProcessesAsLeaving() throws Exception {
      final Node first = fleet.entry("entry-1", "a");
      final Node endpoint = fleet.endpoint("endpoint-1", "a", first);
      assertThat(fleet.advanceUntil(() -> hasMembers(first, 2))).isTrue();
      fleet.stop(endpoint);
      assertThat(phase(first, "endpoint-1")).isEqualTo(MembershipView.Phase.LEAVING);
    }

    /** Guards against a notice that is lost with a connection that was closed as unneeded. */
    @Test
    void showsStoppingProcessesAsLeavingAlthoughTheirConnectionCloses() throws Exception {
      final Node first = fleet.entry("entry-1", "a");
      final Node endpoint = fleet.endpoint("endpoint-1", "a", first);
      assertThat(fleet.advanceUntil(() -> hasMembers(first, 2) && hasMembers(endpoint, 2)))
          .isTrue();
      PeerNetwork network = endpoint.context().network();
      assertThat(fleet.advanceUntil(() -> network.peer(first.peerAddress()).identity() != null))
          .isTrue();
      CountDownLatch noticeSent = new CountDownLatch(1);
      fleet.holdEventLoops(noticeSent);
      network.closeIfIdle(first.peerAddress());
      CompletableFuture<Void> notices = ((MembershipAgent) endpoint.context().membership()).leave();
      noticeSent.countDown();
      notices.get(10, TimeUnit.SECONDS);
      assertThat(phase(first, "endpoint-1")).isEqualTo(MembershipView.Phase.LEAVING);
    }

    /** Guards against giving work to a VM on the leaving list of the document. */
    @Test
    void showsLeavingVmsOfTheDocument() throws Exception {
      final Node first = fleet.entry("entry-1", "a");
      fleet.endpoint("endpoint-1", "a", first);
      assertThat(fleet.advanceUntil(() -> hasMembers(first, 2))).isTrue();
      fleet
          .apply(first, new DocumentEdit("c1", "vms", "t", 0, "vms: {leaving: [endpoint-1]}"))
          .get();
      assertThat(phase(first, "endpoint-1")).isEqualTo(MembershipView.Phase.LEAVING);
    }
  }

  /** Guards against a deadlock between a listener and a thread that reads the configuration. */
  @Test
  void letsOthersReadWhileListenersRun() throws Exception {
    final Node first = fleet.entry("entry-1", "a");
    ConfigurationView configuration = first.context().configuration();
    CompletableFuture<Long> seen = new CompletableFuture<>();
    configuration.onChange(
        snapshot ->
            CompletableFuture.supplyAsync(() -> ((ConfigurationAgent) configuration).document())
                .orTimeout(5, TimeUnit.SECONDS)
                .handle((document, failure) -> seen.complete(failure == null ? 1L : -1L))
                .join());
    fleet.apply(first, TestFleet.edit("c1", 0, "v1")).get();
    assertThat(seen.get(10, TimeUnit.SECONDS)).isOne();
  }

  /** Guards against a lease that stays taken for a full term after a planned stop of its holder. */
  @Test
  void handsTheLeaseOver() throws Exception {
    final Node first = fleet.entry("entry-1", "a");
    assertThat(fleet.advanceUntil(() -> first.context().lease().fencingNumber().isPresent()))
        .isTrue();
    final Node second = fleet.entry("entry-2", "a", first);
    assertThat(fleet.advanceUntil(() -> hasMembers(second, 2))).isTrue();
    assertThat(second.context().lease().fencingNumber()).isEmpty();
    fleet.stop(first);
    assertThat(fleet.advanceUntil(() -> second.context().lease().fencingNumber().isPresent()))
        .isTrue();
    assertThat(second.context().lease().fencingNumber()).hasValue(2);
  }

  /** Guards against a timeline that orders an effect before its cause on another VM. */
  @Test
  void ordersEventsOfVmsWithClocksMinutesApart() throws Exception {
    final Node ahead = fleet.start("entry-1", VmRole.ENTRY, "a", 0, 300_000);
    final Node behind = fleet.start("endpoint-1", VmRole.ENDPOINT, "a", 0, -300_000, ahead);
    fleet.apply(ahead, TestFleet.edit("c1", 0, "v1")).get();
    assertThat(fleet.advanceUntilRevision(1, behind)).isTrue();
    TimelineEvent cause = last(ahead, EventKind.REVISION_IN_FORCE);
    TimelineEvent effect = last(behind, EventKind.REVISION_IN_FORCE);
    assertThat(TimelineEvent.ORDER.compare(cause, effect)).isNegative();
  }

  private static boolean hasMembers(Node node, int members) {
    return node.context().membership().members().size() == members;
  }

  private static MembershipView.Phase phase(Node node, String vm) {
    return node.context().membership().members().stream()
        .filter(member -> member.identity().vm().equals(vm))
        .map(MembershipView.Member::phase)
        .findFirst()
        .orElse(null);
  }

  private static boolean hasEvent(Node node, EventKind kind) {
    return node.context().timeline().after(0, 1000).stream().anyMatch(e -> e.kind() == kind);
  }

  private static TimelineEvent last(Node node, EventKind kind) {
    return node.context().timeline().after(0, 1000).stream()
        .filter(event -> event.kind() == kind)
        .reduce((first, second) -> second)
        .orElseThrow();
  }
}
