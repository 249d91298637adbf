package org.clementineford.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.DistributionPolicy;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TransferStateTest {
  private static final int CHUNKS = 4;
  private static final VmIdentity SELF = TestVms.vm("vm-1", "lorient");
  private static final VmIdentity NEAR = TestVms.vm("vm-2", "lorient");
  private static final VmIdentity OTHER_NEAR = TestVms.vm("vm-3", "lorient");

  private final VirtualTime time = new VirtualTime(0);
  private TransferState state;

  @BeforeEach
  void start() {
    state =
        new TransferState(
            SELF, "address", CHUNKS, DistributionPolicy.SHORTEST_TIME, TransferLimits.DEFAULT);
    state.setMembers(List.of(SELF, NEAR, OTHER_NEAR));
  }

  private static ChunkBitmap map(int... chunks) {
    ChunkBitmap map = new ChunkBitmap(CHUNKS);
    for (int chunk : chunks) {
      map.add(chunk);
    }
    return map;
  }

  private Fetch fetchFrom(VmIdentity peer) {
    return state.running().stream()
        .filter(fetch -> peer.equals(fetch.peer()))
        .findFirst()
        .orElseThrow();
  }

  private void holdAllBut(int missing) {
    for (int chunk = 0; chunk < CHUNKS; chunk++) {
      if (chunk != missing) {
        state.markHeld(chunk);
      }
    }
  }

  private TransferActions plan() {
    return state.plan(time.nanoTime());
  }

  @Nested
  class Selection {
    // Guards against losing the only copy of a chunk in the data centre together with its holder.
    @Test
    void beginsWithTheRarestChunk() {
      state.setPeerChunks(NEAR, map(0, 1));
      state.setPeerChunks(OTHER_NEAR, map(0));
      state.markHeld(2);
      state.markHeld(3);
      assertThat(plan().started().get(0).chunk()).isEqualTo(1);
    }

    // Guards against origin reads of chunks that the region already holds.
    @Test
    void readsNothingFromTheOriginIfPeersHoldAllChunks() {
      state.setPeerChunks(NEAR, map(0, 1, 2, 3));
      assertThat(plan().started()).isNotEmpty().allMatch(fetch -> fetch.kind().isPeer());
    }
  }

  @Nested
  class Origin {
    // Guards against readers that still wait long after an outage of the origin is over. One chunk
    // that is not read delays all engines.
    @Test
    void isReadAgainWithinOneSecondOfItsReturn() {
      state.setMembers(List.of(SELF));
      for (int i = 0; i < 120; i++) {
        failAll();
        time.advance(50, TimeUnit.MILLISECONDS);
      }
      long waitedMs = 0;
      while (plan().started().isEmpty()) {
        time.advance(50, TimeUnit.MILLISECONDS);
        waitedMs += 50;
      }
      assertThat(waitedMs).isLessThanOrEqualTo(1_000);
    }

    private void failAll() {
      plan()
          .started()
          .forEach(fetch -> state.failed(fetch.id(), FetchFailure.LOST, 0, time.nanoTime()));
    }
  }

  @Nested
  class Links {
    // Guards against transfers that use the bandwidth between regions that requests need.
    @Test
    void betweenRegionsCarryOneFetchInEachInterval() {
      VmIdentity far = TestVms.vm("vm-9", "paris");
      state.setMembers(List.of(SELF, far));
      state.setImportInterval(TimeUnit.SECONDS.toNanos(10));
      state.setPeerChunks(far, map(0, 1, 2, 3));
      final int first = imports();
      time.advance(9, TimeUnit.SECONDS);
      assertThat(imports()).isZero();
      time.advance(2, TimeUnit.SECONDS);
      assertThat(first).isBetween(1, 2);
      assertThat(imports()).isEqualTo(1);
    }

    private int imports() {
      int started = 0;
      for (Fetch fetch : plan().started()) {
        started += fetch.kind() == SourceKind.PEER_ELSEWHERE ? 1 : 0;
        state.succeeded(fetch.id(), time.nanoTime());
      }
      return started;
    }
  }

  @Nested
  class Corruption {
    // Guards against fetching repeatedly from a VM with broken memory.
    @Test
    void avoidsTheSenderForThirtySeconds() {
      holdAllBut(0);
      state.setPeerChunks(NEAR, map(0));
      state.setPeerChunks(OTHER_NEAR, map(0));
      plan();
      Fetch first = state.running().get(0);
      state.failed(first.id(), FetchFailure.CORRUPT, 0, time.nanoTime());
      time.advance(29, TimeUnit.SECONDS);
      plan();
      assertThat(state.running()).hasSize(1);
      assertThat(state.running().get(0).peer()).isNotEqualTo(first.peer());
    }

    // Guards against a transfer that never ends because the only holder was avoided.
    @Test
    void asksTheOnlyHolderAgainAfterOneDeadline() {
      holdAllBut(0);
      state.setPeerChunks(NEAR, map(0));
      plan();
      state.failed(fetchFrom(NEAR).id(), FetchFailure.CORRUPT, 0, time.nanoTime());
      assertThat(plan().started()).isEmpty();
      time.advance(1, TimeUnit.SECONDS);
      assertThat(plan().started()).extracting(Fetch::peer).containsExactly(NEAR);
    }
  }

  @Nested
  class Silence {
    // Guards against a stalled link that delays the complete copy.
    @Test
    void movesTheChunkToAnotherPeer() {
      holdAllBut(0);
      state.setPeerChunks(NEAR, map(0));
      plan();
      final Fetch stalled = fetchFrom(NEAR);
      state.setPeerChunks(OTHER_NEAR, map(0));
      time.advance(1, TimeUnit.SECONDS);
      TransferActions actions = plan();
      assertThat(actions.cancelled()).containsExactly(stalled);
      assertThat(actions.started()).extracting(Fetch::peer).containsExactly(OTHER_NEAR);
    }

    // Guards against avoiding a healthy VM because a chunk waited in its queue.
    @Test
    void doesNotCountWhileTheSenderSendsOtherChunks() {
      state.setPeerChunks(NEAR, map(0, 1));
      plan();
      time.advance(900, TimeUnit.MILLISECONDS);
      state.progress(fetchFrom(NEAR).id(), time.nanoTime());
      time.advance(200, TimeUnit.MILLISECONDS);
      assertThat(plan().cancelled()).isEmpty();
      time.advance(1, TimeUnit.SECONDS);
      assertThat(plan().cancelled()).isNotEmpty();
    }

    // Guards against abandoning a fetch that is slow but makes progress.
    @Test
    void endsWhenBytesArrive() {
      holdAllBut(0);
      state.setPeerChunks(NEAR, map(0));
      plan();
      time.advance(900, TimeUnit.MILLISECONDS);
      state.progress(fetchFrom(NEAR).id(), time.nanoTime());
      time.advance(900, TimeUnit.MILLISECONDS);
      assertThat(plan().cancelled()).isEmpty();
    }
  }

  @Nested
  class Loss {
    // Guards against waiting for a dead VM to which origin reads were assigned.
    @Test
    void reassignsTheOriginReadsOfDeadVms() {
      state.setPeerChunks(NEAR, map(0));
      state.setPeerChunks(OTHER_NEAR, map(1));
      state.setMembers(List.of(SELF));
      plan();
      assertThat(state.running()).isNotEmpty().allMatch(f -> f.kind() == SourceKind.ORIGIN);
    }

    // Guards against a saturated link that only carries chunks whose fetches were abandoned.
    @Test
    void ofTheOriginIsRetriedWithIncreasingDelay() {
      state.setMembers(List.of(SELF));
      int reads = 0;
      for (int tenth = 0; tenth < 100; tenth++) {
        for (Fetch fetch : plan().started()) {
          reads++;
          state.failed(fetch.id(), FetchFailure.LOST, 0, time.nanoTime());
        }
        time.advance(100, TimeUnit.MILLISECONDS);
      }
      assertThat(reads).isLessThan(40);
    }

    // Guards against repeating reads that only wait for other reads on the same link.
    @Test
    void ofTheOriginGivesLaterReadsMoreTime() {
      state.setMembers(List.of(SELF));
      plan();
      time.advance(4, TimeUnit.SECONDS);
      assertThat(plan().cancelled()).isNotEmpty();
      time.advance(1, TimeUnit.SECONDS);
      assertThat(plan().started()).isNotEmpty();
      time.advance(8, TimeUnit.SECONDS);
      assertThat(plan().cancelled()).isEmpty();
    }

    // Guards against origin reads that stop permanently after one failure.
    @Test
    void ofTheOriginIsRetried() {
      state.setMembers(List.of(SELF));
      plan();
      for (Fetch fetch : state.running()) {
        state.failed(fetch.id(), FetchFailure.LOST, 0, time.nanoTime());
      }
      assertThat(plan().started()).isEmpty();
      time.advance(100, TimeUnit.MILLISECONDS);
      assertThat(plan().started()).isNotEmpty();
    }
  }
}
