package org.clementineford.requests.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Chooses the endpoint of a request.
 *
 * <p>Requests with a prompt prefix go to the endpoint that ranks first for the prefix by rendezvous
 * hashing (Thaler and Ravishankar, 1998) among those whose load is at most 1.25 times the mean
 * (consistent hashing with bounded loads; Mirrokni, Thorup and Zadimoghaddam, 2018). All other
 * requests go to the less loaded of two random endpoints (Mitzenmacher, 2001).
 *
 * <p>While the version of a model changes, endpoints with the version in force are preferred.
 * Endpoints with another version take the requests that would raise the load of the preferred ones
 * above the bound, so that the first endpoint to activate a version does not get all the traffic.
 */
public final class Router {
  /** Maximum load for prefix affinity, as a multiple of the mean load. */
  public static final double AFFINITY_BOUND = 1.25;

  // An endpoint with fewer than half of its slots in use responds as fast as an idle one.
  private static final double FREE_LOAD = 0.5;

  private final EndpointTable table;
  private final String dataCentre;
  private final RandomGenerator random;

  /**
   * Creates a router.
   *
   * @param table table of the endpoints with their load
   * @param dataCentre local data centre, whose endpoints are preferred
   * @param random source of random numbers for the choice of two endpoints; must be thread-safe
   */
  public Router(EndpointTable table, String dataCentre, RandomGenerator random) {
    this.table = table;
    this.dataCentre = dataCentre;
    this.random = random;
  }

  /**
   * Chooses an endpoint. Those of other data centres are used only if no local one is usable.
   *
   * @param wanted back end that should serve the request, with the version in force
   * @param prefixHash hash of the prompt prefix, or null
   * @param usable returns whether a candidate may be chosen
   * @param nowNanos monotonic time in nanoseconds
   * @return the chosen candidate, or empty if no endpoint is usable
   */
  public Optional<Candidate> choose(
      BackEndId wanted, String prefixHash, Predicate<Candidate> usable, long nowNanos) {
    List<Candidate> local = new ArrayList<>();
    List<Candidate> remote = new ArrayList<>();
    for (Candidate candidate : table.candidates(wanted, nowNanos)) {
      if (usable.test(candidate)) {
        boolean isLocal = candidate.endpoint().dataCentre().equals(dataCentre);
        (isLocal ? local : remote).add(candidate);
      }
    }
    List<Candidate> pool = local.isEmpty() ? remote : local;
    if (pool.isEmpty()) {
      return Optional.empty();
    }
    List<Candidate> current =
        pool.stream().filter(candidate -> candidate.backEnd().equals(wanted)).toList();
    if (current.isEmpty() || current.size() == pool.size()) {
      return Optional.of(chooseFrom(pool, prefixHash, nowNanos));
    }
    Candidate chosen = chooseFrom(current, prefixHash, nowNanos);
    double bound = Math.max(FREE_LOAD, AFFINITY_BOUND * meanLoad(pool, nowNanos));
    return Optional.of(
        chosen.load(nowNanos) <= bound ? chosen : chooseFrom(pool, prefixHash, nowNanos));
  }

  private Candidate chooseFrom(List<Candidate> pool, String prefixHash, long nowNanos) {
    return prefixHash == null
        ? lessLoadedOfTwo(pool, nowNanos)
        : firstWithinBound(pool, prefixHash, nowNanos);
  }

  private static double meanLoad(List<Candidate> pool, long nowNanos) {
    double total = 0;
    for (Candidate candidate : pool) {
      total += candidate.load(nowNanos);
    }
    return total / pool.size();
  }

  private Candidate lessLoadedOfTwo(List<Candidate> pool, long nowNanos) {
    int size = pool.size();
    Candidate first = pool.get(random.nextInt(size));
    if (size == 1) {
      return first;
    }
    Candidate second = pool.get(random.nextInt(size));
    if (second == first) {
      second = pool.get((pool.indexOf(first) + 1 + random.nextInt(size - 1)) % size);
    }
    return second.load(nowNanos) < first.load(nowNanos) ? second : first;
  }

  private Candidate firstWithinBound(List<Candidate> pool, String prefixHash, long nowNanos) {
    double bound = AFFINITY_BOUND * meanLoad(pool, nowNanos);
    Candidate best = null;
    long bestRank = 0;
    for (Candidate candidate : pool) {
      long rank = rank(prefixHash, candidate.endpoint().vm());
      if (candidate.load(nowNanos) <= bound && (best == null || rank > bestRank)) {
        best = candidate;
        bestRank = rank;
      }
    }
    return best == null ? lessLoadedOfTwo(pool, nowNanos) : best;
  }

  private static long rank(String prefixHash, String vm) {
    // SplitMix64 finalizer, which gives similar VM names unrelated ranks.
    long mixed = prefixHash.hashCode() * 0x9E3779B97F4A7C15L + vm.hashCode();
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }
}
