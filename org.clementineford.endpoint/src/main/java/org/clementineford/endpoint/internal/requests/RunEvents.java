package org.clementineford.endpoint.internal.requests;

import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.requests.RefusalKind;
import org.clementineford.requests.RunState;
import org.clementineford.wire.Dispatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Records the events of one run in the timeline and in the log. */
final class RunEvents {
  private static final Logger LOG = LoggerFactory.getLogger(RunEvents.class);

  private final Dispatch dispatch;
  private final Timeline timeline;

  RunEvents(Dispatch dispatch, Timeline timeline) {
    this.dispatch = dispatch;
    this.timeline = timeline;
  }

  void broken(RefusalKind kind, String detail) {
    timeline.record(
        EventKind.REQUEST_BROKEN,
        "request",
        dispatch.getRequestId(),
        "kind",
        kind.wireName(),
        "detail",
        detail);
  }

  void processEnded(RunState run) {
    LOG.atWarn()
        .addKeyValue("request", dispatch.getRequestId())
        .addKeyValue("attempt", dispatch.getAttemptId())
        .addKeyValue("run", run.headerValue())
        .log("run ended before its answer was complete, because this process stops");
  }
}
