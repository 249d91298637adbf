package org.clementineford.requests.routing;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementineford.kernel.VmIdentity;

/** A back end of an endpoint that can be given requests, with its estimated load. */
public final class Candidate {
  // Reports arrive several times a second; an estimate older than this grows worse with time.
  private static final long FRESH_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final VmIdentity endpoint;
  private final BackEndReport report;
  private final long receivedNanos;
  private final AtomicInteger sentSinceReport = new AtomicInteger();

  Candidate(VmIdentity endpoint, BackEndReport report, long receivedNanos) {
    this.endpoint = endpoint;
    this.report = report;
    this.receivedNanos = receivedNanos;
  }

  /**
   * Returns the endpoint.
   *
   * @return identity of the incarnation that reported
   */
  public VmIdentity endpoint() {
    return endpoint;
  }

  /**
   * Returns the back end.
   *
   * @return name and version
   */
  public BackEnd backEnd() {
    return report.backEnd();
  }

  /**
   * Returns the name by which the endpoint knows the back end.
   *
   * @return name in the endpoint's settings
   */
  public String backEndName() {
    return report.name();
  }

  /** Counts a request that this process sent, until the next report includes it. */
  public void countSent() {
    sentSinceReport.incrementAndGet();
  }

  /**
   * Estimates the load: reported and since sent requests by slot, plus one for each second by which
   * the report is older than a second.
   *
   * @param nowNanos monotonic time of this process
   * @return the load; 1 means that all slots are in use
   */
  public double load(long nowNanos) {
    double occupied = report.running() + report.queued() + sentSinceReport.get();
    long overdue = Math.max(0, nowNanos - receivedNanos - FRESH_NANOS);
    return occupied / Math.max(1, report.slots()) + overdue / (double) FRESH_NANOS;
  }

  long receivedNanos() {
    return receivedNanos;
  }
}
