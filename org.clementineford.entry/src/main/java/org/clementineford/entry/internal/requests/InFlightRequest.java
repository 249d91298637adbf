package org.clementineford.entry.internal.requests;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.clementineford.kernel.Scheduler;
import org.clementineford.requests.RefusalKind;
import org.clementineford.requests.RunState;
import org.clementineford.requests.attempts.AttemptPlan;
import org.clementineford.requests.attempts.AttemptPlan.Next;
import org.clementineford.requests.attempts.EntryRefusal;
import org.clementineford.requests.claims.AttemptStatus;
import org.clementineford.requests.claims.Claim;
import org.clementineford.requests.claims.StoredAnswer;
import org.clementineford.transport.ExchangeFailure;
import org.clementineford.transport.http.HttpExchange;
import org.clementineford.wire.AnswerEnd;
import org.clementineford.wire.AnswerHead;
import org.clementineford.wire.Payload;
import org.clementineford.wire.Refusal;
import org.clementineford.wire.RunReport;

/** Handles one accepted client request until its final response. Guarded by its own lock. */
final class InFlightRequest {
  private static final long CONNECT_WAIT_MS = 10;
  // Twice the connect timeout of the peer network.
  private static final long MAX_CONNECT_WAIT_MS = 2000;

  private final EntryServices services;
  private final CallerRequest request;
  private final CallerResponse response;
  private final AttemptPlan plan;
  private final ClaimCoordinator claimCoordinator;
  private final AttemptInquiry inquiry;
  private final RequestEvents events;
  private final Consumer<InFlightRequest> endAction;
  private final long startNanos;
  private final long deadlineNanos;
  private Scheduler.Cancellable deadlineTimer = () -> {};
  private AttemptExchange attempt;
  private RefusalResponses.Response lastRefusal;
  private int attemptsCreated;
  private boolean callerPresent = true;
  private boolean ended;

  InFlightRequest(
      EntryServices services,
      CallerRequest request,
      HttpExchange http,
      Consumer<InFlightRequest> endAction) {
    this.services = services;
    this.request = request;
    this.response = new CallerResponse(http, request.stream());
    this.events = new RequestEvents(services, request);
    this.endAction = endAction;
    this.startNanos = services.clock().nanoTime();
    this.deadlineNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(request.timeoutMs());
    this.plan = new AttemptPlan(request.idempotent(), deadlineNanos, services.budget());
    this.inquiry = new AttemptInquiry(services.connections(), services.scheduler());
    this.claimCoordinator =
        request.requiresClaim() ? new ClaimCoordinator(services, request, inquiry, this) : null;
  }

  synchronized void start() {
    deadlineTimer =
        services
            .scheduler()
            .schedule(this::deadlinePassed, request.timeoutMs(), TimeUnit.MILLISECONDS);
    if (claimCoordinator == null) {
      startNextAttempt();
    } else {
      claimCoordinator.start();
    }
  }

  synchronized void callerBecameWritable() {
    response.onWritable();
  }

  synchronized boolean isStillAwaited() {
    return !ended && callerPresent && services.clock().nanoTime() < deadlineNanos;
  }

  /**
   * Prefers other endpoints to one that never received an attempt, since its connection may be the
   * cause.
   */
  synchronized void markLastResort(String vm) {
    plan.markLastResort(vm);
  }

  synchronized boolean isEnded() {
    return ended;
  }

  /**
   * Chooses a connected endpoint for the next attempt and sends the attempt. If the request needs a
   * claim, the attempt is sent after the claim has been written.
   */
  synchronized void startNextAttempt() {
    if (ended || refuseIfProcessEndsFirst()) {
      return;
    }
    long now = services.clock().nanoTime();
    Optional<AttemptTarget> target = chooseTarget(plan::isLastResort, now);
    if (target.isEmpty() && plan.mayRepeatEndpoint()) {
      target = chooseTarget(vm -> false, now);
    }
    if (target.isPresent()) {
      attemptsCreated++;
      if (claimCoordinator == null) {
        dispatch(target.get());
      } else {
        claimCoordinator.targetChosen(target.get());
      }
      return;
    }
    Predicate<String> excluded = vm -> plan.isLastResort(vm) && !plan.mayRepeatEndpoint();
    boolean connecting = services.chooser().mayBecomeUsable(request.backEnd(), excluded, now);
    long waited = TimeUnit.NANOSECONDS.toMillis(now - startNanos);
    if (connecting && waited < MAX_CONNECT_WAIT_MS) {
      services.scheduler().schedule(this::startNextAttempt, CONNECT_WAIT_MS, TimeUnit.MILLISECONDS);
    } else if (lastRefusal != null) {
      refuse(lastRefusal);
    } else if (claimCoordinator != null) {
      claimCoordinator.noEndpointFound();
    } else {
      refuse(EntryRefusal.NO_ENDPOINT);
    }
  }

  /**
   * Refuses a request that was surely not run if the process may end before its deadline. A request
   * that may have run goes on, because the refusal would tell its caller less than another attempt.
   */
  private boolean refuseIfProcessEndsFirst() {
    if (!services.processEnd().isBefore(deadlineNanos) || knownRunState() != RunState.NOT_RUN) {
      return false;
    }
    refuse(EntryRefusal.ENTRY_LEAVING);
    return true;
  }

  private Optional<AttemptTarget> chooseTarget(Predicate<String> excluded, long now) {
    String attemptId = request.requestId() + "." + (attemptsCreated + 1);
    return services
        .chooser()
        .choose(request.backEnd(), request.prefixHash(), attemptId, excluded, now);
  }

  /** Sends an attempt to its endpoint. */
  synchronized void dispatch(AttemptTarget target) {
    if (ended || refuseIfProcessEndsFirst()) {
      return;
    }
    long now = services.clock().nanoTime();
    long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - now);
    if (remainingMs <= 0) {
      deadlinePassed();
      return;
    }
    events.dispatched(target, plan.attempts() == 0);
    plan.started(target.vm());
    target.candidate().countSent();
    AttemptExchange exchange =
        new AttemptExchange(
            target,
            request.requestId(),
            new AttemptEventHandler(),
            services.metrics().droppedPayloads);
    attempt = exchange;
    Payload payload = Payload.dispatch(request.toDispatch(target, remainingMs));
    exchange.opened(
        services.connections().open(target.address(), payload, new LockedListener(this, exchange)));
  }

  private void proceed(Next next, String reason, RefusalResponses.Response fallback) {
    switch (next) {
      case RETRY_ELSEWHERE -> {
        services.metrics().retries.labelValues(reason).inc();
        response.discardAttempt();
        lastRefusal = fallback;
        if (claimCoordinator == null) {
          startNextAttempt();
        } else {
          claimCoordinator.attemptNotRun();
        }
      }
      case ASK_ENDPOINT -> {
        Claim claimToReport = attempt.target().toClaim(request.digest());
        inquiry.ask(claimToReport, request.account(), this::isStillAwaited, this::attemptReported);
      }
      default -> refuse(fallback);
    }
  }

  private synchronized void attemptReported(AttemptStatus status, RunReport details) {
    if (ended) {
      return;
    }
    switch (status) {
      case FINISHED -> replay(CallerHeaders.answerOf(details, request.requestId()), "endpoint");
      case REVOKED -> {
        events.revoked(attempt.target().attemptId());
        proceed(
            plan.notRun(true, services.clock().nanoTime()),
            "revoked",
            refusal(EntryRefusal.RETRY_BUDGET));
      }
      case RUNNING -> proceed(Next.ASK_ENDPOINT, "running", null);
      default -> {
        plan.noReport();
        refuse(EntryRefusal.CONNECTION_LOST);
      }
    }
  }

  /** Responds with the answer of an attempt that ended earlier; null if it was not stored. */
  synchronized void replay(StoredAnswer answer, String source) {
    if (ended) {
      return;
    }
    events.replayed(source);
    if (claimCoordinator != null) {
      claimCoordinator.recordFinished(answer);
    }
    if (answer == null) {
      refuse(refusal(EntryRefusal.ANSWER_NOT_KEPT, RunState.RAN));
      return;
    }
    Map<String, String> headers = new HashMap<>(answer.headers());
    headers.put("Clementineford-Request", request.requestId());
    events.answered(answer.status());
    response.respond(answer.status(), headers, answer.body());
    end();
  }

  private RefusalResponses.Response refusal(EntryRefusal refusal) {
    return refusal(refusal, knownRunState());
  }

  private RefusalResponses.Response refusal(EntryRefusal refusal, RunState run) {
    return RefusalResponses.of(refusal, run, request.requestId(), request.backEnd().name());
  }

  private RunState knownRunState() {
    return claimCoordinator != null && claimCoordinator.knownRunState() != RunState.NOT_RUN
        ? claimCoordinator.knownRunState()
        : plan.runState();
  }

  synchronized void refuse(EntryRefusal refusal) {
    refuse(refusal(refusal));
  }

  synchronized void refuse(EntryRefusal refusal, RunState run) {
    refuse(refusal(refusal, run));
  }

  private void refuse(RefusalResponses.Response refusal) {
    if (ended) {
      return;
    }
    if (response.isStarted()) {
      abortResponse(refusal.kind());
      return;
    }
    events.refused(refusal);
    events.answered(refusal.status());
    response.respond(refusal.status(), refusal.headers(), refusal.body());
    end();
  }

  /**
   * Aborts a response of which the caller already has a part. The caller detects the abort by the
   * missing end.
   */
  private void abortResponse(String reason) {
    events.responseAborted(reason);
    response.abort();
    end();
  }

  private synchronized void deadlinePassed() {
    if (ended) {
      return;
    }
    // A claimed run continues, so that a resend with the same key gets its answer.
    if (attempt != null) {
      attempt.abandon(claimCoordinator == null);
    }
    if (response.isStarted()) {
      abortResponse("deadline");
    } else {
      refuse(EntryRefusal.DEADLINE_PASSED);
    }
  }

  /** Ends the request with the most that is known about it, because the process ends now. */
  synchronized void processEnds() {
    if (ended) {
      return;
    }
    RunState run = knownRunState();
    events.processEnded(run, response.isStarted());
    EntryRefusal refusal =
        run == RunState.NOT_RUN ? EntryRefusal.ENTRY_LEAVING : EntryRefusal.ENTRY_STOPPED;
    // A claimed run continues, so that a resend with the same key gets its answer.
    if (attempt != null) {
      attempt.abandon(claimCoordinator == null);
    }
    refuse(refusal);
  }

  synchronized void callerDisconnected() {
    if (ended) {
      return;
    }
    callerPresent = false;
    services.metrics().callersDisconnected.inc();
    if (attempt != null) {
      attempt.abandon(claimCoordinator == null);
    }
    end();
  }

  private void end() {
    if (!ended) {
      ended = true;
      deadlineTimer.cancel();
      endAction.accept(this);
    }
  }

  /** Handles the events of the current attempt. Called with the lock of the request held. */
  private final class AttemptEventHandler implements AttemptExchange.Events {
    @Override
    public void head(AnswerHead head) {
      if (!response.head(head.getStatus(), CallerHeaders.of(head, request.requestId()))) {
        stopAttempt("answers-differ");
      }
    }

    @Override
    public void part(byte[] bytes) {
      switch (response.part(bytes)) {
        case CALLER_TOO_SLOW -> stopAttempt("slow-caller");
        case DIFFERS_FROM_SENT -> stopAttempt("answers-differ");
        default -> {
          // The part was accepted for the caller.
        }
      }
    }

    private void stopAttempt(String reason) {
      attempt.abandon(claimCoordinator == null);
      abortResponse(reason);
    }

    @Override
    public void end(AnswerEnd answerEnd) {
      if (response.isShorterThanSent()) {
        abortResponse("answers-differ");
        return;
      }
      events.answered(response.status());
      if (claimCoordinator != null) {
        claimCoordinator.recordFinished(response.storedAnswer());
      }
      response.end(InFlightRequest.this::end);
    }

    @Override
    public void refused(Refusal refusal) {
      long now = services.clock().nanoTime();
      EndpointRefusal endpointRefusal = new EndpointRefusal(refusal);
      if (endpointRefusal.kind() == RefusalKind.LEAVING) {
        AttemptTarget target = attempt.target();
        services.endpoints().markLeaving(target.vm(), target.incarnation(), now);
      }
      boolean retryable = endpointRefusal.mayRetryElsewhere(request);
      Next next =
          endpointRefusal.run() == RunState.NOT_RUN
              ? plan.notRun(retryable, now)
              : plan.refusedOutcomeUnknown(retryable, now);
      RunState run = endpointRefusal.run() == RunState.RAN ? RunState.RAN : knownRunState();
      proceed(next, "refused", endpointRefusal.response(run, request.requestId()));
    }

    @Override
    public void corrupt(String reason) {
      attempt.abandon(request.idempotent());
      interrupted("corrupt", EntryRefusal.CORRUPT_ANSWER);
    }

    @Override
    public void lost(ExchangeFailure failure) {
      long now = services.clock().nanoTime();
      if (failure.isCertainlyNotReceived()) {
        proceed(plan.neverWritten(now), "never-written", refusal(EntryRefusal.NO_ENDPOINT));
      } else {
        interrupted("connection-lost", EntryRefusal.CONNECTION_LOST);
      }
    }

    private void interrupted(String reason, EntryRefusal fallback) {
      if (response.isStarted() && !request.idempotent()) {
        abortResponse(reason);
        return;
      }
      Next next = plan.outcomeUnknown(services.clock().nanoTime());
      proceed(next, reason, refusal(fallback));
    }
  }
}
