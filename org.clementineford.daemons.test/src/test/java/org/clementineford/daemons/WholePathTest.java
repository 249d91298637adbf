package org.clementineford.daemons;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementineford.bench.quickstart.Outcomes;
import org.clementineford.bench.quickstart.Traffic;
import org.clementineford.kernel.HostPort;
import org.clementineford.standins.EngineOptions;
import org.clementineford.standins.EngineStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class WholePathTest {
  private static final long INTERVAL_MS = 10;
  private static final long STOP_SECONDS = 20;

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

  private static void assertAllAnswered(Outcomes outcomes) {
    assertThat(outcomes.failures()).isEmpty();
    assertThat(outcomes.refusedCount()).isZero();
    assertThat(outcomes.answeredCount()).isEqualTo(outcomes.sentCount()).isPositive();
  }

  private void assertReservationsAreTrue(Traffic traffic) {
    Map<String, Integer> runs = fleet.service.runs().byKey();
    assertThat(runs.values()).allMatch(count -> count == 1);
    assertThat(runs.keySet()).containsAll(traffic.reservations().answeredKeys());
    assertThat(traffic.reservations().refusedKeys()).noneMatch(runs::containsKey);
  }

  // Guards against answers that are cut, mixed or from partial weights while a version changes.
  @Test
  void burstDuringRequestsDisturbsNone() throws Exception {
    final long originBytes = fleet.origin.bytesServed();
    Traffic traffic = fleet.traffic("burst", fleet.callerAddresses);
    traffic.start(INTERVAL_MS);
    fleet.run(500);
    fleet.order("v2");
    fleet.awaitServed("v2", fleet.engines);
    fleet.run(1000);
    traffic.stop();
    fleet.awaitEnded(traffic);
    assertAllAnswered(traffic.lookups());
    assertAllAnswered(traffic.reservations());
    assertReservationsAreTrue(traffic);
    assertThat(traffic.lookups().versions()).containsOnlyKeys("v1", "v2");
    // Target of section 1.2 for FEWEST_ORIGIN_BYTES: 1.1 copies.
    assertThat(fleet.origin.bytesServed() - originBytes)
        .isLessThanOrEqualTo(Fleet.LENGTH * 11 / 10);
  }

  // Guards against a planned stop of an endpoint VM that cuts requests in flight.
  @Test
  void stoppedEndpointCutsNothing() throws Exception {
    Traffic traffic = fleet.traffic("stop", fleet.callerAddresses);
    traffic.start(INTERVAL_MS);
    fleet.run(500);
    fleet.endpoints.get(1).stop().get(STOP_SECONDS, TimeUnit.SECONDS);
    fleet.run(1000);
    traffic.stop();
    fleet.awaitEnded(traffic);
    assertAllAnswered(traffic.lookups());
    assertAllAnswered(traffic.reservations());
    assertReservationsAreTrue(traffic);
  }

  // Guards against new work on a leaving endpoint VM after 3 s, also without the platform.
  @Test
  void leavingEndpointGetsNoNewWorkWhileThePlatformIsDown() throws Exception {
    Traffic traffic = fleet.traffic("leave", fleet.callerAddresses);
    fleet.platform.startOutage();
    traffic.start(INTERVAL_MS);
    fleet.run(500);
    final CompletableFuture<Void> stopped = fleet.endpoints.get(1).stop();
    fleet.run(3000);
    final EngineStandIn engine = fleet.engines.get(1);
    final long requests = engine.counters().get("requests");
    fleet.run(1000);
    traffic.stop();
    fleet.awaitEnded(traffic);
    stopped.get(STOP_SECONDS, TimeUnit.SECONDS);
    assertThat(engine.counters().get("requests")).isEqualTo(requests);
    assertAllAnswered(traffic.lookups());
    assertThat(traffic.reservations().failures()).isEmpty();
    assertReservationsAreTrue(traffic);
  }

  // Guards against a planned stop of an entry VM that cuts requests in flight.
  @Test
  void stoppedEntryCutsNothing() throws Exception {
    Traffic before = fleet.traffic("before", fleet.callerAddresses);
    before.start(INTERVAL_MS);
    fleet.run(500);
    final CompletableFuture<Void> stopped = fleet.entries.get(1).stop();
    // The load balancer reads /ready and stops sending before the entry VM refuses.
    AtomicInteger status = new AtomicInteger();
    fleet.await.until(
        "/ready fails",
        5,
        () -> {
          fleet.readStatus(fleet.callerAddresses.get(1), "/ready", status);
          return status.get() == 503;
        });
    before.stop();
    Traffic after = fleet.traffic("after", List.of(fleet.callerAddresses.get(0)));
    after.start(INTERVAL_MS);
    stopped.get(STOP_SECONDS, TimeUnit.SECONDS);
    after.stop();
    fleet.awaitEnded(before);
    fleet.awaitEnded(after);
    for (Traffic traffic : List.of(before, after)) {
      assertAllAnswered(traffic.lookups());
      assertAllAnswered(traffic.reservations());
      assertReservationsAreTrue(traffic);
    }
  }

  // Guards against an accepted version that is not distributed, and against reservations that run
  // without a claim, when the platform fails right after the change was accepted.
  @Test
  void platformOutageDuringBurstStopsReservationsOnly() throws Exception {
    Traffic traffic = fleet.traffic("outage", fleet.callerAddresses);
    traffic.start(INTERVAL_MS);
    fleet.run(500);
    fleet.order("v2");
    fleet.platform.startOutage();
    fleet.awaitServed("v2", fleet.engines);
    fleet.run(1000);
    traffic.stop();
    fleet.awaitEnded(traffic);
    assertAllAnswered(traffic.lookups());
    assertThat(traffic.reservations().failures()).isEmpty();
    assertThat(traffic.reservations().refusedCount()).isPositive();
    assertReservationsAreTrue(traffic);
  }

  // Guards against wrong or repeated work, and a burst that hangs, when an endpoint VM dies.
  @Test
  void killedEndpointDoesNotStopTheBurst() throws Exception {
    Traffic traffic = fleet.traffic("kill", fleet.callerAddresses);
    traffic.start(INTERVAL_MS);
    fleet.run(500);
    fleet.order("v2");
    fleet.endpoints.get(2).kill();
    fleet.awaitServed("v2", fleet.engines.subList(0, 2));
    fleet.run(3500);
    traffic.stop();
    fleet.awaitEnded(traffic);
    assertThat(traffic.lookups().wrongCount()).as("wrong lookups").isZero();
    assertThat(traffic.reservations().wrongCount()).as("wrong reservations").isZero();
    assertReservationsAreTrue(traffic);
    Traffic later = fleet.traffic("later", fleet.callerAddresses);
    later.start(INTERVAL_MS);
    fleet.run(1000);
    later.stop();
    fleet.awaitEnded(later);
    assertAllAnswered(later.lookups());
    assertAllAnswered(later.reservations());
    assertThat(later.lookups().versions()).containsOnlyKeys("v2");
  }

  // Guards against an entry VM that turns callers away, or answers from no configuration, because
  // it started while the platform was down.
  @Test
  void entryStartedDuringAnOutageServesFromItsPeers() throws Exception {
    fleet.platform.startOutage();
    HostPort callers = fleet.addEntry("entry-3");
    AtomicInteger status = new AtomicInteger();
    fleet.await.until(
        "/ready succeeds",
        10,
        () -> {
          fleet.readStatus(callers, "/ready", status);
          return status.get() == 200;
        });
    Traffic probes = fleet.traffic("probe", List.of(callers));
    fleet.await.until(
        "the entry VM knows the endpoint VMs",
        5,
        () -> {
          probes.lookUp(callers, "probe", false);
          return probes.lookups().answeredCount() > 0;
        });
    Traffic traffic = fleet.traffic("new-entry", List.of(callers));
    traffic.start(INTERVAL_MS);
    fleet.run(1000);
    traffic.stop();
    fleet.awaitEnded(traffic);
    fleet.awaitEnded(probes);
    assertAllAnswered(traffic.lookups());
    assertThat(traffic.reservations().failures()).isEmpty();
    assertThat(probes.lookups().failures()).isEmpty();
  }

  // Guards against a replaced endpoint VM that is taken for the old one and never serves.
  @Test
  void replacedEndpointCatchesUpFromItsPeers() throws Exception {
    fleet.endpoints.get(2).kill();
    fleet.order("v2");
    fleet.awaitServed("v2", fleet.engines.subList(0, 2));
    final long originBytes = fleet.origin.bytesServed();
    fleet.engines.get(2).setLoaded(null);
    fleet.endpoints.add(fleet.endpoint("endpoint-3", fleet.engines.get(2)));
    fleet.awaitServed("v2", fleet.engines);
    assertThat(fleet.origin.bytesServed()).isEqualTo(originBytes);
    Traffic traffic = fleet.traffic("replaced", fleet.callerAddresses);
    traffic.start(INTERVAL_MS);
    fleet.await.until(
        "the replaced endpoint VM gets requests",
        10,
        () -> fleet.engines.get(2).counters().get("finished") > 20);
    traffic.stop();
    fleet.awaitEnded(traffic);
    assertAllAnswered(traffic.lookups());
    assertAllAnswered(traffic.reservations());
  }
}
