package org.clementineford.serving.routing;

import java.util.Optional;
import java.util.OptionalLong;
import org.clementineford.serving.model.Endpoint;

/**
 * State that one entry VM keeps for one incarnation of an endpoint: its listing, its last reported
 * load, the requests that this entry VM sent to it, and its health.
 */
public final class EndpointState {
  private final EndpointHealth health = new EndpointHealth();
  private final RequestRateLimit requestLimit = new RequestRateLimit();
  private final RequestPause pause = new RequestPause();
  private Endpoint endpoint;
  private boolean removed;
  private int outstanding;
  private long pendingPrefillTokens;
  private EndpointLoad report = EndpointLoad.NONE;
  private int outstandingAtReport;
  private int allowance = Integer.MAX_VALUE;
  private OptionalLong heardAt = OptionalLong.empty();

  EndpointState(Endpoint endpoint) {
    this.endpoint = endpoint;
  }

  /** Updates the listing. An endpoint that is leaving does not return in the same incarnation. */
  void update(Endpoint listed) {
    endpoint = endpoint.leaving() ? listed.asLeaving() : listed;
  }

  void remove() {
    removed = true;
  }

  /**
   * Returns the endpoint as the platform lists it.
   *
   * @return the last listing of the endpoint
   */
  public Endpoint endpoint() {
    return endpoint;
  }

  boolean isRemoved() {
    return removed;
  }

  /**
   * Records that the endpoint says that it is leaving. It stays so in this incarnation.
   *
   * @return true if that was not known
   */
  public boolean markLeaving() {
    boolean isNew = !endpoint.leaving();
    endpoint = endpoint.asLeaving();
    return isNew;
  }

  /**
   * Returns the reason for which the endpoint gets no request now.
   *
   * @param now monotonic time in nanoseconds
   * @return the first reason that holds; empty if it may get one
   */
  public Optional<EndpointMark> mark(long now) {
    for (EndpointMark mark : EndpointMark.values()) {
      if (mark.applies(this, now)) {
        return Optional.of(mark);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns whether the endpoint is listed and not leaving.
   *
   * @return false if it must not receive new requests
   */
  public boolean acceptsRequests() {
    return !removed && !endpoint.leaving();
  }

  /**
   * Records that this entry VM sends a request to the endpoint.
   *
   * @param promptTokens prompt tokens that the endpoint must prefill
   */
  public void sent(int promptTokens) {
    outstanding++;
    if (allowance != Integer.MAX_VALUE) {
      allowance--;
    }
    pendingPrefillTokens += promptTokens;
    health.sent();
  }

  /**
   * Records that the endpoint has prefilled a prompt, or that the request ended before that.
   *
   * @param promptTokens number of tokens that was passed to {@link #sent}
   */
  public void prefillEnded(int promptTokens) {
    pendingPrefillTokens -= promptTokens;
  }

  /** Records that a request ended, with any outcome. */
  public void ended() {
    outstanding--;
    if (allowance != Integer.MAX_VALUE) {
      // The ended request frees a slot, which this entry VM may use for its next request.
      allowance++;
    }
    health.released();
  }

  /**
   * Records that the endpoint answered a request without a failure.
   *
   * @param now monotonic time in nanoseconds
   */
  public void answered(long now) {
    health.answered(now);
  }

  /**
   * Records that a request to the endpoint failed.
   *
   * @param outcome kind of the failure
   * @param now monotonic time in nanoseconds
   */
  public void failed(AttemptOutcome outcome, long now) {
    health.failed(outcome, now);
  }

  /**
   * Records a load report of the endpoint, without a limit on requests until the next report.
   *
   * @param report the report
   */
  public void reported(EndpointLoad report) {
    reported(report, Integer.MAX_VALUE);
  }

  /**
   * Records a load report of the endpoint.
   *
   * @param report the report
   * @param newAllowance number of requests that may be sent until the next report, in addition to
   *     those that replace ended requests of this entry VM
   */
  public void reported(EndpointLoad report, int newAllowance) {
    this.report = report;
    this.outstandingAtReport = outstanding;
    this.allowance = newAllowance;
  }

  /**
   * Records that the endpoint's VM reported that the endpoint runs.
   *
   * @param now monotonic time in nanoseconds
   */
  public void heard(long now) {
    heardAt = OptionalLong.of(now);
  }

  /**
   * Returns whether the endpoint's VM reported lately that the endpoint runs.
   *
   * @param nanos longest time since the report
   * @param now monotonic time in nanoseconds
   * @return false if there was no such report
   */
  public boolean wasHeardWithin(long nanos, long now) {
    return heardAt.isPresent() && now - heardAt.getAsLong() <= nanos;
  }

  /**
   * Returns whether another request may be sent before the next load report.
   *
   * @return false once this entry VM has used its share of the free slots
   */
  public boolean hasAllowance() {
    return allowance > 0;
  }

  /**
   * Records the load that the endpoint sent with an answer. Such an answer does not report the
   * weights, so those of the last report are kept.
   *
   * @param running number of running requests
   * @param waiting number of requests that wait inside the endpoint
   */
  public void updateLoad(int running, int waiting) {
    reported(
        new EndpointLoad(
            report.incarnation(),
            report.number(),
            report.weightVersion(),
            report.changingVersion(),
            running,
            waiting,
            report.slowdown()));
  }

  /**
   * Returns the last load report.
   *
   * @return the report; {@link EndpointLoad#NONE} if there was none
   */
  public EndpointLoad report() {
    return report;
  }

  /**
   * Estimates the number of requests from all entry VMs at the endpoint.
   *
   * @return requests of other entry VMs at the last report, plus present requests of this entry VM
   */
  public int load() {
    return Math.max(0, report.running() + report.waiting() - outstandingAtReport) + outstanding;
  }

  /**
   * Returns by how many requests the load that this entry VM causes has grown since the last load
   * report.
   *
   * @return number of requests; 0 if more have ended than were sent
   */
  public int sentSinceReport() {
    return Math.max(0, outstanding - outstandingAtReport);
  }

  /**
   * Returns the number of requests of this entry VM at the endpoint.
   *
   * @return requests that were sent and have not ended
   */
  public int outstanding() {
    return outstanding;
  }

  /**
   * Returns the number of prompt tokens that this entry VM sent and the endpoint has not prefilled.
   *
   * @return number of tokens
   */
  public long pendingPrefillTokens() {
    return pendingPrefillTokens;
  }

  /**
   * Returns the version of the weights with which the endpoint answers requests.
   *
   * @return the reported version if this incarnation has reported one, else the listed version; 0
   *     if the endpoint has no weights
   */
  public long weightVersion() {
    if (report.incarnation() == endpoint.incarnation() && report.number() > 0) {
      return report.weightVersion();
    }
    return endpoint.weightVersion();
  }

  /**
   * Returns the limit of requests per second that the endpoint named in its last response.
   *
   * @return the limit, which ends with this incarnation of the endpoint
   */
  public RequestRateLimit requestLimit() {
    return requestLimit;
  }

  /**
   * Returns the pause that the endpoint asked for.
   *
   * @return the pause, which ends with this incarnation of the endpoint
   */
  public RequestPause pause() {
    return pause;
  }

  /**
   * Returns the time until a pause or a limit allows a request.
   *
   * @param now monotonic time in nanoseconds
   * @return nanoseconds; 0 if neither excludes the endpoint
   */
  public long waitNanos(long now) {
    return Math.max(pause.waitNanos(now), requestLimit.waitNanos(now));
  }

  /**
   * Returns whether the endpoint's health allows another request.
   *
   * @param now monotonic time in nanoseconds
   * @return false while it is suspended or its trial request runs
   */
  public boolean isHealthy(long now) {
    return health.isUsable(now);
  }

  /**
   * Returns whether the next request would be the trial request after a suspension.
   *
   * @param now monotonic time in nanoseconds
   * @return true if the endpoint was suspended and the time of the suspension is over
   */
  public boolean isTrialDue(long now) {
    return health.isTrialDue(now);
  }

  /**
   * Returns the smoothed share of failed requests, in which old failures count less.
   *
   * @param now monotonic time in nanoseconds
   * @return a value from 0 for none to 1 for all
   */
  public double failureScore(long now) {
    return health.score(now);
  }
}
