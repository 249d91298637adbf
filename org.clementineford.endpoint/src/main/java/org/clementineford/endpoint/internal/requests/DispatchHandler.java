package org.clementineford.endpoint.internal.requests;

import java.util.Map;
import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.requests.RefusalKind;
import org.clementineford.requests.RunState;
import org.clementineford.requests.admission.AdmissionDecision;
import org.clementineford.requests.admission.Attempt;
import org.clementineford.requests.admission.AttemptReport;
import org.clementineford.transport.ExchangeHandler;
import org.clementineford.transport.IncomingExchange;
import org.clementineford.wire.Dispatch;
import org.clementineford.wire.Payload;
import org.clementineford.wire.ReportOrRevoke;
import org.clementineford.wire.RunPhase;
import org.clementineford.wire.RunReport;

/** Handles {@code Dispatch} and {@code ReportOrRevoke} payloads. */
final class DispatchHandler implements ExchangeHandler {
  private final Map<String, LocalBackEnd> backEnds;
  private final RequestServices services;

  DispatchHandler(Map<String, LocalBackEnd> backEnds, RequestServices services) {
    this.backEnds = backEnds;
    this.services = services;
  }

  @Override
  public void onOpen(Payload opening, IncomingExchange exchange) {
    if (opening.isSetDispatch()) {
      onDispatch(opening.getDispatch(), exchange);
    } else {
      onReportOrRevoke(opening.getReportOrRevoke(), exchange);
    }
  }

  private void onDispatch(Dispatch dispatch, IncomingExchange exchange) {
    Attempt attempt =
        new Attempt(
            dispatch.getAttemptId(),
            dispatch.getClientAccount(),
            dispatch.getIdempotencyKey(),
            dispatch.isIdempotent(),
            dispatch.getTargetIncarnation(),
            dispatch.getAdmissionTick());
    LocalBackEnd backEnd = backEnds.get(dispatch.getBackEnd());
    Run run = new Run(dispatch, attempt, backEnd, services);
    long now = services.clock().nanoTime();
    // Counted before admission; otherwise a drain could complete between the two steps.
    services.drainTracker().runStarted(run, now);
    AdmissionDecision<Run, AnswerBuffer> admission = services.registry().admit(attempt, run, now);
    if (admission.verdict() == AdmissionDecision.Verdict.START) {
      run.attach(exchange);
      start(run, backEnd);
      return;
    }
    services.drainTracker().runEnded(run, now);
    switch (admission.verdict()) {
      case ATTACH -> admission.run().attach(exchange);
      case REPLAY -> {
        services.timeline().record(EventKind.REQUEST_REPLAYED, "attempt", attempt.attemptId());
        admission.answer().payloads().forEach(payload -> Run.sendTo(exchange, payload));
      }
      default -> refuse(dispatch, admission.refusal(), admission.runState(), exchange);
    }
  }

  private void start(Run run, LocalBackEnd backEnd) {
    if (backEnd == null) {
      run.refuseQueued(RefusalKind.UNKNOWN_BACK_END);
      return;
    }
    RefusalKind refusal = backEnd.accept(run.request());
    if (refusal != null) {
      run.refuseQueued(refusal);
      return;
    }
    backEnd.startNext();
  }

  private void refuse(
      Dispatch dispatch, RefusalKind kind, RunState run, IncomingExchange exchange) {
    services.metrics().refused(kind);
    exchange.finish(
        RefusalPayloads.create(
            dispatch.getRequestId(), kind, run, "attempt " + dispatch.getAttemptId()));
  }

  private void onReportOrRevoke(ReportOrRevoke query, IncomingExchange exchange) {
    Attempt attempt =
        new Attempt(
            query.getAttemptId(),
            query.getClientAccount(),
            query.getIdempotencyKey(),
            false,
            query.getTargetIncarnation(),
            0);
    AttemptReport<Run, AnswerBuffer> report =
        services.registry().reportOrRevoke(attempt, services.clock().nanoTime());
    if (report.phase() == AttemptReport.Phase.RUNNING && query.isWaitForEnd()) {
      report.run().whenEnded(() -> onReportOrRevoke(query, exchange));
      return;
    }
    if (report.phase() == AttemptReport.Phase.REVOKED) {
      services.timeline().record(EventKind.ATTEMPT_REVOKED, "attempt", attempt.attemptId());
    }
    RunReport reply = new RunReport(attempt.attemptId(), RunPhase.valueOf(report.phase().name()));
    if (report.answer() != null) {
      reply.setHead(report.answer().head());
      reply.setBody(report.answer().body());
    }
    exchange.finish(Payload.runReport(reply));
  }
}
