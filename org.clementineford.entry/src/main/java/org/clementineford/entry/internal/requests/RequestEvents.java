package org.clementineford.entry.internal.requests;

import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.requests.RunState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Records the events of one request in the timeline and in the metrics. */
final class RequestEvents {
  private static final Logger LOG = LoggerFactory.getLogger(RequestEvents.class);

  private final EntryServices services;
  private final CallerRequest request;

  RequestEvents(EntryServices services, CallerRequest request) {
    this.services = services;
    this.request = request;
  }

  void dispatched(AttemptTarget target, boolean first) {
    record(
        first ? EventKind.REQUEST_DISPATCHED : EventKind.REQUEST_RETRIED,
        "attempt",
        target.attemptId(),
        "endpoint",
        target.vm());
  }

  void revoked(String attemptId) {
    record(EventKind.ATTEMPT_REVOKED, "attempt", attemptId);
  }

  void replayed(String source) {
    services.metrics().replays.labelValues(source).inc();
    record(EventKind.REQUEST_REPLAYED, "source", source);
  }

  void refused(RefusalResponses.Response refusal) {
    String run = refusal.headers().get("Clementineford-Run");
    services.metrics().refusals.labelValues(refusal.kind(), run).inc();
    record(EventKind.REQUEST_REFUSED, "reason", refusal.kind(), "run", run);
  }

  void responseAborted(String reason) {
    services.metrics().abortedResponses.labelValues(reason).inc();
    record(EventKind.REQUEST_BROKEN, "reason", reason);
  }

  void processEnded(RunState run, boolean answerStarted) {
    LOG.atWarn()
        .addKeyValue("request", request.requestId())
        .addKeyValue("account", request.account())
        .addKeyValue("run", run.headerValue())
        .addKeyValue("answerStarted", answerStarted)
        .log("request ended before its answer was complete, because this process stops");
  }

  void claimWritten(EventKind kind, AttemptTarget target) {
    record(kind, "attempt", target.attemptId(), "endpoint", target.vm());
  }

  void answered(int status) {
    services.metrics().requests.labelValues(request.account(), Integer.toString(status)).inc();
  }

  private void record(EventKind kind, String... details) {
    String[] all = new String[details.length + 2];
    all[0] = "request";
    all[1] = request.requestId();
    System.arraycopy(details, 0, all, 2, details.length);
    services.timeline().record(kind, all);
  }
}
