package org.clementineford.requests.routing;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementineford.kernel.VmIdentity;

/** A back end of an endpoint that can accept requests, with its estimated load. */
public final class Candidate {
  // Reports arrive several times a second; beyond this age an estimate becomes less accurate.
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
  public BackEndId backEnd() {
    return report.backEnd();
  }

  /**
   * Returns the name of the back end at the endpoint.
   *
   * @return name in the endpoint's settings
   */
  public String backEndName() {
    return report.name();
  }

  /** Counts a request that this process sent and that is not yet included in a report. */
  public void countSent() {
    sentSinceReport.incrementAndGet();
  }

  /**
   * Estimates the load: reported requests and those sent since, divided by the number of slots,
   * plus one for each second by which the report is older than one second.
   *
   * @param nowNanos monotonic time of this process, in nanoseconds
   * @return the load; 1 if all slots are in use
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
