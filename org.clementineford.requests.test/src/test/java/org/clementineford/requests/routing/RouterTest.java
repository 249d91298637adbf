package org.clementineford.requests.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RouterTest {
  private static final BackEnd WANTED = new BackEnd("assistant", "v2");
  private static final BackEnd OLDER = new BackEnd("assistant", "v1");
  private static final int SLOTS = 10;

  private final EndpointTable table = new EndpointTable();
  private final Router router = new Router(table, "lorient", new SplittableRandom(1));

  private void report(String vm, long incarnation, String dataCentre, BackEnd backEnd, int load) {
    VmIdentity identity =
        new VmIdentity(
            vm, VmRole.ENDPOINT, dataCentre, "any", incarnation, new HostPort("10.0.0.1", 1));
    BackEndReport report = new BackEndReport(backEnd, backEnd.name(), load, 0, SLOTS, true);
    table.report(new EndpointReport(identity, List.of(report), false), 0);
  }

  private TreeMap<String, Integer> choices(int count, String prefixHash) {
    TreeMap<String, Integer> chosen = new TreeMap<>();
    for (int i = 0; i < count; i++) {
      Candidate candidate = router.choose(WANTED, prefixHash, any -> true, 0).orElseThrow();
      candidate.countSent();
      chosen.merge(candidate.endpoint().vm(), 1, Integer::sum);
    }
    return chosen;
  }

  @Nested
  class Load {
    // Guards against an even spread over endpoints of uneven load.
    @Test
    void sendsMoreToTheLessLoaded() {
      report("busy", 1, "lorient", WANTED, SLOTS);
      report("idle", 1, "lorient", WANTED, 0);
      assertThat(choices(8, null)).containsOnlyKeys("idle");
    }

    // Guards against all entry VMs sending to the endpoint that reported the least load.
    @Test
    void countsWhatWasSentSinceTheReport() {
      report("first", 1, "lorient", WANTED, 0);
      report("second", 1, "lorient", WANTED, 0);
      TreeMap<String, Integer> chosen = choices(100, null);
      assertThat(chosen.get("first")).isBetween(45, 55);
    }
  }

  @Nested
  class PrefixAffinity {
    // Guards against cold prompt caches.
    @Test
    void keepsPrefixOnOneEndpointWhileItsLoadIsWithinTheBound() {
      for (int i = 0; i < 5; i++) {
        report("vm-" + i, 1, "lorient", WANTED, 5);
      }
      String first = choices(1, "aa").firstKey();
      report(first, 1, "lorient", WANTED, 6);
      assertThat(choices(1, "aa")).containsOnlyKeys(first);
    }

    // Guards against a popular prefix that overloads one endpoint.
    @Test
    void leavesAnEndpointAboveTheBound() {
      for (int i = 0; i < 5; i++) {
        report("vm-" + i, 1, "lorient", WANTED, 0);
      }
      TreeMap<String, Integer> chosen = choices(200, "aa");
      // Mean 40, bound 1.25, and one request in progress of being counted.
      assertThat(chosen.values()).allMatch(count -> count <= 51);
    }
  }

  @Nested
  class Versions {
    // Guards against requests for the old version once the new one is served.
    @Test
    void preferTheOneInForce() {
      report("old", 1, "lorient", OLDER, 0);
      report("new", 1, "lorient", WANTED, 0);
      assertThat(choices(4, null)).containsOnlyKeys("new");
    }

    // Guards against the first activated endpoint getting the traffic of all.
    @Test
    void overflowToTheOlderOneAboveTheBound() {
      report("old", 1, "lorient", OLDER, 0);
      report("new", 1, "lorient", WANTED, 0);
      assertThat(choices(60, null).get("old")).isGreaterThan(10);
    }

    // Guards against refusing requests between acceptance of a version and its first activation.
    @Test
    void olderOnesServeUntilTheFirstActivation() {
      report("old", 1, "lorient", OLDER, 0);
      assertThat(choices(1, null)).containsOnlyKeys("old");
    }
  }

  @Nested
  class DataCentres {
    // Guards against traffic between regions while local endpoints can serve.
    @Test
    void remoteOnesServeOnlyWithoutLocalOnes() {
      report("near", 1, "lorient", WANTED, SLOTS);
      report("far", 1, "paris", WANTED, 0);
      assertThat(choices(4, null)).containsOnlyKeys("near");
      Optional<Candidate> other =
          router.choose(WANTED, null, c -> !c.endpoint().vm().equals("near"), 0);
      assertThat(other.orElseThrow().endpoint().vm()).isEqualTo("far");
    }
  }

  @Nested
  class Incarnations {
    // Guards against a late report of an older incarnation replacing the newest one.
    @Test
    void ofFormerProcessesAreDropped() {
      report("vm", 2, "lorient", WANTED, 0);
      report("vm", 1, "lorient", OLDER, 0);
      assertThat(table.candidates(WANTED, 0))
          .extracting(candidate -> candidate.endpoint().incarnation())
          .containsExactly(2L);
    }

    // Guards against a restarted VM that stays out because its last incarnation was leaving.
    @Test
    void afterTheLeavingOneMayServe() {
      report("vm", 1, "lorient", WANTED, 0);
      table.markLeaving("vm", 1, 0);
      assertThat(table.candidates(WANTED, 0)).isEmpty();
      report("vm", 2, "lorient", WANTED, 0);
      assertThat(table.candidates(WANTED, 0)).hasSize(1);
      table.leavingByMembership(Set.of("vm"), 0);
      assertThat(table.candidates(WANTED, 0)).isEmpty();
    }
  }
}
