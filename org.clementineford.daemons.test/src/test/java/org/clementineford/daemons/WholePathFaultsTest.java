package org.clementineford.daemons;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.bench.quickstart.Traffic;
import org.clementineford.standins.EngineOptions;
import org.clementineford.standins.EngineStandIn;
import org.clementineford.standins.StandInFaultKind;
import org.clementineford.standins.StandInFaults.Fault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The whole path while the outside systems misbehave; the faults are chosen by seed 1. */
class WholePathFaultsTest {
  private static final long INTERVAL_MS = 10;

  private Fleet fleet;

  @BeforeEach
  void start() throws Exception {
    fleet = new Fleet(new EngineOptions(20, 5, 12, 32, true, 200));
    fleet.serve("v1");
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  private static Fault share(StandInFaultKind kind, double share) {
    return new Fault(kind, share, Fault.UNLIMITED, 0);
  }

  private void assertAtMostOneRun(Traffic traffic) {
    Map<String, Integer> runs = fleet.service.runs().byKey();
    assertThat(runs.values()).allMatch(count -> count == 1);
    assertThat(runs.keySet()).containsAll(traffic.reservations().answeredKeys());
    assertThat(traffic.reservations().refusedKeys()).noneMatch(runs::containsKey);
    assertThat(traffic.reservations().wrongCount()).isZero();
  }

  // Guards against a reservation that runs twice when replies of the platform and of the service
  // are lost, reads are stale, and the caller sends each key again through the other entry VM.
  @Test
  void reservationsRunOnceWhenRepliesAreLost() throws Exception {
    fleet.platform.faults().set(share(StandInFaultKind.LOST_REPLY, 0.2));
    fleet.platform.faults().set(share(StandInFaultKind.STALE_READ, 0.2));
    fleet.service.faults().set(share(StandInFaultKind.LOST_REPLY, 0.2));
    Traffic first = fleet.traffic("first", fleet.callerAddresses);
    Traffic again = fleet.traffic("again", fleet.callerAddresses);
    List<CompletableFuture<Void>> calls = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      String key = "k-" + i;
      int entry = i % 2;
      // One caller in four does not wait for the first answer.
      CompletableFuture<Void> sent = first.reserve(fleet.callerAddresses.get(entry), key);
      CompletableFuture<Void> before = i % 4 == 0 ? CompletableFuture.completedFuture(null) : sent;
      calls.add(sent);
      calls.add(
          before.thenCompose(done -> again.reserve(fleet.callerAddresses.get(1 - entry), key)));
    }
    CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new)).get(60, TimeUnit.SECONDS);
    Map<String, Integer> runs = fleet.service.runs().byKey();
    assertThat(runs.values()).allMatch(count -> count == 1);
    assertThat(runs.keySet()).containsAll(first.reservations().answeredKeys());
    assertThat(runs.keySet()).containsAll(again.reservations().answeredKeys());
    assertThat(first.reservations().wrongCount() + again.reservations().wrongCount()).isZero();
    assertThat(again.reservations().answeredCount()).isPositive();
  }

  // Guards against broken or crossed answers of engines that reach a caller as whole ones.
  @Test
  void brokenAndCrossedAnswersNeverLookWhole() throws Exception {
    for (EngineStandIn engine : fleet.engines) {
      engine.faults().set(share(StandInFaultKind.BROKEN_STREAM, 0.1));
      engine.faults().set(share(StandInFaultKind.WRONG_REQUEST_ID, 0.1));
    }
    Traffic traffic = fleet.traffic("broken", fleet.callerAddresses);
    traffic.start(INTERVAL_MS);
    fleet.run(3000);
    traffic.stop();
    fleet.awaitEnded(traffic);
    assertThat(traffic.lookups().wrongCount()).isZero();
    assertThat(traffic.lookups().answeredCount()).isPositive();
    assertAtMostOneRun(traffic);
  }

  // Guards against answers from partial or mixed weights, and a burst that never ends, when the
  // origin corrupts, stalls and replaces content during the transfer.
  @Test
  void corruptAndStalledOriginDelaysButDoesNotMix() throws Exception {
    fleet.origin.faults().set(new Fault(StandInFaultKind.CORRUPTION, 1, 3, 0));
    fleet.origin.faults().set(new Fault(StandInFaultKind.STALL, 1, 1, 0));
    Traffic traffic = fleet.traffic("origin", fleet.callerAddresses);
    traffic.start(INTERVAL_MS);
    fleet.order("v2");
    fleet.awaitServed("v2", fleet.engines);
    fleet.run(1000);
    traffic.stop();
    fleet.awaitEnded(traffic);
    assertThat(traffic.lookups().failures()).isEmpty();
    assertThat(traffic.lookups().versions()).containsOnlyKeys("v1", "v2");
    assertAtMostOneRun(traffic);
  }

  // Guards against an engine that hangs for good and takes the other endpoint VMs with it.
  @Test
  void hangingEngineIsAvoided() throws Exception {
    fleet.engines.get(0).faults().set(StandInFaultKind.HANG);
    Traffic traffic = fleet.traffic("hang", fleet.callerAddresses);
    traffic.start(INTERVAL_MS);
    fleet.run(6000);
    traffic.stop();
    Traffic later = fleet.traffic("later", fleet.callerAddresses);
    later.start(INTERVAL_MS);
    fleet.run(1000);
    later.stop();
    fleet.awaitEnded(traffic);
    fleet.awaitEnded(later);
    assertThat(traffic.lookups().wrongCount()).isZero();
    assertThat(traffic.lookups().failures()).isEmpty();
    assertAtMostOneRun(traffic);
    assertThat(later.lookups().failures()).isEmpty();
    assertThat(later.lookups().refusedCount()).isZero();
  }

  // Guards against a rollback during a burst that leaves VMs on different versions.
  @Test
  void rollbackInTheMiddleOfTheBurstEndsOnOneVersion() throws Exception {
    Traffic traffic = fleet.traffic("rollback", fleet.callerAddresses);
    traffic.start(INTERVAL_MS);
    fleet.order("v2");
    fleet.run(400);
    fleet.order("v1");
    fleet.run(2000);
    fleet.awaitServed("v1", fleet.engines);
    fleet.run(500);
    traffic.stop();
    fleet.awaitEnded(traffic);
    assertThat(traffic.lookups().failures()).isEmpty();
    assertThat(traffic.lookups().versions().keySet()).isSubsetOf(Set.of("v1", "v2"));
    assertAtMostOneRun(traffic);
    fleet.awaitServed("v1", fleet.engines);
  }
}
