package org.clementineford.requests.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Table of the endpoints with the load that they reported. Thread-safe.
 *
 * <p>An endpoint counts as leaving if its own report, one of its refusals, the configuration
 * document or the membership marks it as leaving. Reports of an older incarnation than the latest
 * one reported are dropped.
 */
public final class EndpointTable {
  /** Time without a report after which an endpoint gets no more requests. */
  public static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(3);

  // Reports are sent every second. A report from before the endpoint started to leave can arrive
  // late over another connection and must not clear the mark. After this time, later reports clear
  // it, in case the endpoint stays after all.
  private static final long LEAVING_HOLD_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final Map<String, Entry> endpoints = new ConcurrentHashMap<>();
  private volatile Map<String, List<Candidate>> byName = Map.of();
  private volatile Set<String> leavingByDocument = Set.of();
  private volatile Set<String> leavingByMembership = Set.of();

  /**
   * Updates the table with a report.
   *
   * @param report load report of an endpoint
   * @param nowNanos monotonic time of receipt, in nanoseconds
   * @return false if the report is from an older incarnation and was dropped
   */
  public boolean update(EndpointReport report, long nowNanos) {
    String vm = report.endpoint().vm();
    Entry merged =
        endpoints.compute(
            vm,
            (key, existing) -> {
              if (existing != null && existing.incarnation() > report.endpoint().incarnation()) {
                return existing;
              }
              boolean sameIncarnation =
                  existing != null && existing.incarnation() == report.endpoint().incarnation();
              long leavingUntil =
                  report.leaving()
                      ? nowNanos + LEAVING_HOLD_NANOS
                      : sameIncarnation ? existing.leavingUntilNanos() : nowNanos;
              return Entry.of(report, leavingUntil, nowNanos);
            });
    rebuild(nowNanos);
    return merged.incarnation() == report.endpoint().incarnation();
  }

  /**
   * Marks an endpoint as leaving after it refused work for that reason.
   *
   * @param vm name of the VM
   * @param incarnation incarnation that refused
   * @param nowNanos monotonic time in nanoseconds
   */
  public void markLeaving(String vm, long incarnation, long nowNanos) {
    endpoints.computeIfPresent(
        vm,
        (key, existing) ->
            existing.incarnation() == incarnation
                ? existing.leavingUntil(nowNanos + LEAVING_HOLD_NANOS)
                : existing);
    rebuild(nowNanos);
  }

  /**
   * Sets the VMs that are leaving according to the configuration document.
   *
   * @param vms names of the VMs
   * @param nowNanos monotonic time in nanoseconds
   */
  public void setLeavingByDocument(Set<String> vms, long nowNanos) {
    leavingByDocument = Set.copyOf(vms);
    rebuild(nowNanos);
  }

  /**
   * Sets the VMs that are leaving according to the membership.
   *
   * @param vms names of the VMs
   * @param nowNanos monotonic time in nanoseconds
   */
  public void setLeavingByMembership(Set<String> vms, long nowNanos) {
    leavingByMembership = Set.copyOf(vms);
    rebuild(nowNanos);
  }

  /**
   * Returns whether an incarnation of an endpoint, or a later one, has reported.
   *
   * @param vm name of the VM
   * @param incarnation earliest incarnation whose report counts
   * @return true if such a report was received and has not been removed
   */
  public boolean hasReport(String vm, long incarnation) {
    Entry entry = endpoints.get(vm);
    return entry != null && entry.incarnation() >= incarnation;
  }

  /**
   * Returns whether the table contains no endpoint.
   *
   * @return true before the first report and after all reports were removed
   */
  public boolean isEmpty() {
    return endpoints.isEmpty();
  }

  /**
   * Returns the candidates for requests to a model, in any version, or to a plain service.
   *
   * @param backEnd identity of the back end; its version is ignored
   * @param nowNanos monotonic time in nanoseconds
   * @return candidates whose latest report is at most {@link #EXPIRY_NANOS} old
   */
  public List<Candidate> candidates(BackEndId backEnd, long nowNanos) {
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

  private static String indexKey(BackEndId backEnd) {
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
