package org.clementineford.serving.routing;

import org.clementineford.serving.model.Endpoint;

/**
 * What one entry VM knows about one incarnation of an endpoint: its listing, its load as reported
 * and as sent since, and its health.
 */
public final class EndpointState {
  private final EndpointHealth health = new EndpointHealth();
  private Endpoint endpoint;
  private boolean gone;
  private int outstanding;
  private long unreadPromptTokens;
  private LoadReport report = LoadReport.NONE;
  private int outstandingAtReport;
  private int allowance = Integer.MAX_VALUE;

  EndpointState(Endpoint endpoint) {
    this.endpoint = endpoint;
  }

  void update(Endpoint listed) {
    endpoint = listed;
  }

  void remove() {
    gone = true;
  }

  /**
   * Returns the listing.
   *
   * @return the endpoint as last listed
   */
  public Endpoint endpoint() {
    return endpoint;
  }

  /**
   * Tells whether the endpoint is listed and not leaving.
   *
   * @return false if it must get no new requests
   */
  public boolean acceptsRequests() {
    return !gone && !endpoint.leaving();
  }

  /**
   * Notes that a request is sent.
   *
   * @param promptTokens tokens that the endpoint must read first
   */
  public void sent(int promptTokens) {
    outstanding++;
    if (allowance != Integer.MAX_VALUE) {
      allowance--;
    }
    unreadPromptTokens += promptTokens;
    health.sent();
  }

  /**
   * Notes that the endpoint has read a prompt, or that the request ended before.
   *
   * @param promptTokens tokens given to {@link #sent}
   */
  public void promptRead(int promptTokens) {
    unreadPromptTokens -= promptTokens;
  }

  /** Notes that a request ended, however it ended. */
  public void ended() {
    outstanding--;
    if (allowance != Integer.MAX_VALUE) {
      // The slot of this VM's own request is free for its next one.
      allowance++;
    }
    health.released();
  }

  /**
   * Notes that the endpoint answered as it should.
   *
   * @param now monotonic time in nanoseconds
   */
  public void answered(long now) {
    health.answered(now);
  }

  /**
   * Notes a failure.
   *
   * @param outcome what went wrong
   * @param now monotonic time in nanoseconds
   */
  public void failed(AttemptOutcome outcome, long now) {
    health.failed(outcome, now);
  }

  /**
   * Takes in a report of the endpoint's load.
   *
   * @param report the report
   */
  public void reported(LoadReport report) {
    reported(report, Integer.MAX_VALUE);
  }

  /**
   * Takes in a report of the endpoint's load.
   *
   * @param report the report
   * @param requests requests to send until the next report, besides those that replace own ones
   */
  public void reported(LoadReport report, int requests) {
    this.report = report;
    this.outstandingAtReport = outstanding;
    this.allowance = requests;
  }

  /**
   * Tells whether another request may be sent before the next report.
   *
   * @return false once the share of the free slots is used
   */
  public boolean hasAllowance() {
    return allowance > 0;
  }

  /**
   * Takes in the load that an answer of the endpoint states.
   *
   * @param running requests that run
   * @param waiting requests that wait in the endpoint
   */
  public void stated(int running, int waiting) {
    reported(
        new LoadReport(
            report.incarnation(),
            report.number(),
            report.weightVersion(),
            report.changingVersion(),
            running,
            waiting,
            report.pace()));
  }

  /**
   * Returns the last report.
   *
   * @return the report; {@link LoadReport#NONE} if there was none
   */
  public LoadReport report() {
    return report;
  }

  /**
   * Estimates the requests at the endpoint, from all entry VMs.
   *
   * @return those of other entry VMs at the last report and those of this one now
   */
  public int load() {
    return Math.max(0, report.running() + report.waiting() - outstandingAtReport) + outstanding;
  }

  /**
   * Returns this entry VM's requests at the endpoint.
   *
   * @return requests sent and not ended
   */
  public int outstanding() {
    return outstanding;
  }

  /**
   * Returns the prompt tokens that this entry VM sent and the endpoint has not read.
   *
   * @return tokens
   */
  public long unreadPromptTokens() {
    return unreadPromptTokens;
  }

  /**
   * Returns the version of weights that answers requests.
   *
   * @return the newer of the listing and the report; 0 if the endpoint has no weights
   */
  public long weightVersion() {
    if (report.incarnation() == endpoint.incarnation() && report.number() > 0) {
      return report.weightVersion();
    }
    return endpoint.weightVersion();
  }

  /**
   * Tells whether the endpoint's health allows another request.
   *
   * @param now monotonic time in nanoseconds
   * @return false while it is set aside or its trial runs
   */
  public boolean isHealthy(long now) {
    return health.isUsable(now);
  }

  /**
   * Tells whether the next request would be a trial after failures.
   *
   * @param now monotonic time in nanoseconds
   * @return true once the pause of an endpoint that was set aside is over
   */
  public boolean isTrialDue(long now) {
    return health.isTrialDue(now);
  }

  /**
   * Returns the smoothed share of failures.
   *
   * @param now monotonic time in nanoseconds
   * @return 0 for none, 1 for all
   */
  public double failureScore(long now) {
    return health.score(now);
  }
}
