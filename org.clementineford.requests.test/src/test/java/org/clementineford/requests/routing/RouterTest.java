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
  private static final BackEndId WANTED = new BackEndId("assistant", "v2");
  private static final BackEndId OLDER = new BackEndId("assistant", "v1");
  private static final int SLOTS = 10;

  private final EndpointTable table = new EndpointTable();
  private final Router router = new Router(table, "lorient", new SplittableRandom(1));

  private void report(String vm, long incarnation, String dataCentre, BackEndId backEnd, int load) {
    VmIdentity identity =
        new VmIdentity(
            vm, VmRole.ENDPOINT, dataCentre, "any", incarnation, new HostPort("10.0.0.1", 1));
    BackEndReport report = new BackEndReport(backEnd, backEnd.name(), load, 0, SLOTS, true);
    table.update(new EndpointReport(identity, List.of(report), false), 0);
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
    // Guards against an even distribution of requests over endpoints with uneven load.
    @Test
    void prefersLessLoadedEndpoints() {
      report("busy", 1, "lorient", WANTED, SLOTS);
      report("idle", 1, "lorient", WANTED, 0);
      assertThat(choices(8, null)).containsOnlyKeys("idle");
    }

    // Guards against sending all requests to the endpoint that reported the lowest load.
    @Test
    void countsRequestsSentSinceTheReport() {
      report("first", 1, "lorient", WANTED, 0);
      report("second", 1, "lorient", WANTED, 0);
      TreeMap<String, Integer> chosen = choices(100, null);
      assertThat(chosen.get("first")).isBetween(45, 55);
    }
  }

  @Nested
  class PrefixAffinity {
    // Guards against prompt cache misses due to a change of endpoint.
    @Test
    void keepsPrefixOnOneEndpointWhileItsLoadIsWithinBound() {
      for (int i = 0; i < 5; i++) {
        report("vm-" + i, 1, "lorient", WANTED, 5);
      }
      String first = choices(1, "aa").firstKey();
      report(first, 1, "lorient", WANTED, 6);
      assertThat(choices(1, "aa")).containsOnlyKeys(first);
    }

    // Guards against a popular prefix that overloads one endpoint.
    @Test
    void usesOtherEndpointsAboveBound() {
      for (int i = 0; i < 5; i++) {
        report("vm-" + i, 1, "lorient", WANTED, 0);
      }
      TreeMap<String, Integer> chosen = choices(200, "aa");
      // The mean is 40 and the bound 1.25 times the mean; one more is possible because a request is
      // counted after its endpoint is chosen.
      assertThat(chosen.values()).allMatch(count -> count <= 51);
    }
  }

  @Nested
  class Versions {
    // Guards against use of the old version although an endpoint serves the new one.
    @Test
    void inForceArePreferred() {
      report("old", 1, "lorient", OLDER, 0);
      report("new", 1, "lorient", WANTED, 0);
      assertThat(choices(4, null)).containsOnlyKeys("new");
    }

    // Guards against sending all traffic to the first endpoint that activates a version.
    @Test
    void notInForceTakeLoadAboveBound() {
      report("old", 1, "lorient", OLDER, 0);
      report("new", 1, "lorient", WANTED, 0);
      assertThat(choices(60, null).get("old")).isGreaterThan(10);
    }

    // Guards against refusals between the acceptance of a version and its first activation.
    @Test
    void notInForceServeUntilFirstActivation() {
      report("old", 1, "lorient", OLDER, 0);
      assertThat(choices(1, null)).containsOnlyKeys("old");
    }
  }

  @Nested
  class DataCentres {
    // Guards against traffic between data centres while local endpoints are usable.
    @Test
    void remoteServeOnlyWithoutLocalEndpoints() {
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
    // Guards against a late report of an older incarnation that replaces the latest one.
    @Test
    void olderThanTheLatestAreDropped() {
      report("vm", 2, "lorient", WANTED, 0);
      report("vm", 1, "lorient", OLDER, 0);
      assertThat(table.candidates(WANTED, 0))
          .extracting(candidate -> candidate.endpoint().incarnation())
          .containsExactly(2L);
    }

    // Guards against a restarted VM that gets no requests because its previous incarnation was
    // leaving.
    @Test
    void startedAfterLeavingOnesServe() {
      report("vm", 1, "lorient", WANTED, 0);
      table.markLeaving("vm", 1, 0);
      assertThat(table.candidates(WANTED, 0)).isEmpty();
      report("vm", 2, "lorient", WANTED, 0);
      assertThat(table.candidates(WANTED, 0)).hasSize(1);
      table.setLeavingByMembership(Set.of("vm"), 0);
      assertThat(table.candidates(WANTED, 0)).isEmpty();
    }
  }
}
