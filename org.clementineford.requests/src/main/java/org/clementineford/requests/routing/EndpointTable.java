package org.clementineford.requests.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Endpoints by the load that they reported. All methods may be called from any thread.
 *
 * <p>An endpoint is leaving if its own report, a refusal of it, the document or the membership says
 * so. A report of an older incarnation than the one known is dropped.
 */
public final class EndpointTable {
  /** An endpoint that was not heard of for this long gets no requests. */
  public static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(3);

  // Reports come each second. One that was sent before the endpoint started to leave, and arrives
  // later over another connection, must not undo it; an endpoint that stays after all is believed.
  private static final long LEAVING_HOLD_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final Map<String, Entry> endpoints = new ConcurrentHashMap<>();
  private volatile Map<String, List<Candidate>> byName = Map.of();
  private volatile Set<String> leavingByDocument = Set.of();
  private volatile Set<String> leavingByMembership = Set.of();

  /**
   * Takes a report.
   *
   * @param report the report
   * @param nowNanos monotonic time of receipt
   * @return false if it is from an older incarnation and was dropped
   */
  public boolean report(EndpointReport report, long nowNanos) {
    String vm = report.endpoint().vm();
    Entry merged =
        endpoints.compute(
            vm,
            (key, known) -> {
              if (known != null && known.incarnation() > report.endpoint().incarnation()) {
                return known;
              }
              boolean sameIncarnation =
                  known != null && known.incarnation() == report.endpoint().incarnation();
              long leavingUntil =
                  report.leaving()
                      ? nowNanos + LEAVING_HOLD_NANOS
                      : sameIncarnation ? known.leavingUntilNanos() : nowNanos;
              return Entry.of(report, leavingUntil, nowNanos);
            });
    rebuild(nowNanos);
    return merged.incarnation() == report.endpoint().incarnation();
  }

  /**
   * Marks an endpoint that refused work because it is leaving.
   *
   * @param vm name of the VM
   * @param incarnation incarnation that refused
   * @param nowNanos monotonic time
   */
  public void markLeaving(String vm, long incarnation, long nowNanos) {
    endpoints.computeIfPresent(
        vm,
        (key, known) ->
            known.incarnation() == incarnation
                ? known.leavingUntil(nowNanos + LEAVING_HOLD_NANOS)
                : known);
    rebuild(nowNanos);
  }

  /**
   * Sets the VMs that the document calls leaving.
   *
   * @param vms names of the VMs
   * @param nowNanos monotonic time
   */
  public void leavingByDocument(Set<String> vms, long nowNanos) {
    leavingByDocument = Set.copyOf(vms);
    rebuild(nowNanos);
  }

  /**
   * Sets the VMs that the membership calls leaving.
   *
   * @param vms names of the VMs
   * @param nowNanos monotonic time
   */
  public void leavingByMembership(Set<String> vms, long nowNanos) {
    leavingByMembership = Set.copyOf(vms);
    rebuild(nowNanos);
  }

  /**
   * Tells whether an endpoint has reported.
   *
   * @param vm name of the VM
   * @param incarnation incarnation that must have reported
   * @return true if a report of it was received
   */
  public boolean knows(String vm, long incarnation) {
    Entry entry = endpoints.get(vm);
    return entry != null && entry.incarnation() >= incarnation;
  }

  /**
   * Tells whether no endpoint has reported yet.
   *
   * @return true before the first report
   */
  public boolean isEmpty() {
    return endpoints.isEmpty();
  }

  /**
   * Returns what can be given requests for a model, in any version, or for a plain service.
   *
   * @param backEnd the back end; its version does not matter
   * @param nowNanos monotonic time
   * @return candidates whose last report is not older than {@link #EXPIRY_NANOS}
   */
  public List<Candidate> candidates(BackEnd backEnd, long nowNanos) {
    List<Candidate> all = byName.getOrDefault(indexKey(backEnd), List.of());
    for (Candidate candidate : all) {
      if (nowNanos - candidate.receivedNanos() > EXPIRY_NANOS) {
        return all.stream().filter(c -> nowNanos - c.receivedNanos() <= EXPIRY_NANOS).toList();
      }
    }
    return all;
  }

  private synchronized void rebuild(long nowNanos) {
    endpoints.values().removeIf(entry -> nowNanos - entry.receivedNanos() > 20 * EXPIRY_NANOS);
    Map<String, List<Candidate>> next = new HashMap<>();
    for (Entry entry : endpoints.values()) {
      if (entry.isLeaving()
          || leavingByDocument.contains(entry.vm())
          || leavingByMembership.contains(entry.vm())) {
        continue;
      }
      for (Candidate candidate : entry.candidates()) {
        next.computeIfAbsent(indexKey(candidate.backEnd()), key -> new ArrayList<>())
            .add(candidate);
      }
    }
    byName = next;
  }

  private static String indexKey(BackEnd backEnd) {
    return (backEnd.isModel() ? "model " : "service ") + backEnd.name();
  }

  private record Entry(
      String vm,
      long incarnation,
      long receivedNanos,
      long leavingUntilNanos,
      List<Candidate> candidates) {

    static Entry of(EndpointReport report, long leavingUntilNanos, long nowNanos) {
      List<Candidate> candidates =
          report.backEnds().stream()
              .filter(BackEndReport::healthy)
              .map(backEnd -> new Candidate(report.endpoint(), backEnd, nowNanos))
              .toList();
      return new Entry(
          report.endpoint().vm(),
          report.endpoint().incarnation(),
          nowNanos,
          leavingUntilNanos,
          candidates);
    }

    Entry leavingUntil(long untilNanos) {
      return new Entry(vm, incarnation, receivedNanos, untilNanos, candidates);
    }

    boolean isLeaving() {
      return leavingUntilNanos - receivedNanos > 0;
    }
  }
}
