package org.clementineford.entry.internal.requests;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.clementineford.kernel.Scheduler;
import org.clementineford.requests.RefusalKind;
import org.clementineford.requests.RunState;
import org.clementineford.requests.attempts.AttemptPlan;
import org.clementineford.requests.attempts.AttemptPlan.Next;
import org.clementineford.requests.attempts.EntryRefusal;
import org.clementineford.requests.claims.AttemptReport;
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
final class RequestRun {
  private static final long CONNECT_WAIT_MS = 10;
  // Twice the connect timeout of the peer network.
  private static final long MAX_CONNECT_WAIT_MS = 2000;

  private final EntryServices services;
  private final CallerRequest request;
  private final CallerResponse response;
  private final AttemptPlan plan;
  private final ClaimRun claim;
  private final AttemptInquiry inquiry;
  private final RunEvents events;
  private final Runnable onEnd;
  private final long startNanos;
  private final long deadlineNanos;
  private Scheduler.Cancellable deadline = () -> {};
  private AttemptExchange attempt;
  private Refusals.Response lastFailure;
  private int named;
  private boolean callerPresent = true;
  private boolean ended;

  RequestRun(EntryServices services, CallerRequest request, HttpExchange http, Runnable onEnd) {
    this.services = services;
    this.request = request;
    this.response = new CallerResponse(http, request.stream());
    this.events = new RunEvents(services, request);
    this.onEnd = onEnd;
    this.startNanos = services.clock().nanoTime();
    this.deadlineNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(request.timeoutMs());
    this.plan = new AttemptPlan(request.idempotent(), deadlineNanos, services.budget());
    this.inquiry = new AttemptInquiry(services.link(), services.scheduler());
    this.claim = request.isClaimed() ? new ClaimRun(services, request, inquiry, this) : null;
  }

  synchronized void begin() {
    deadline =
        services
            .scheduler()
            .schedule(this::deadlinePassed, request.timeoutMs(), TimeUnit.MILLISECONDS);
    if (claim == null) {
      nextAttempt();
    } else {
      claim.begin();
    }
  }

  synchronized void callerWritable() {
    response.onWritable();
  }

  synchronized boolean isWanted() {
    return !ended && callerPresent && services.clock().nanoTime() < deadlineNanos;
  }

  /**
   * Prefers other endpoints to one that never received an attempt, since its connection may be the
   * cause.
   */
  synchronized void avoid(String vm) {
    plan.avoid(vm);
  }

  synchronized boolean isEnded() {
    return ended;
  }

  /**
   * Chooses a connected endpoint for the next attempt and sends the attempt. If the request needs a
   * claim, the attempt is sent after the claim has been written.
   */
  synchronized void nextAttempt() {
    if (ended) {
      return;
    }
    long now = services.clock().nanoTime();
    Optional<Target> target = choose(plan::wasTried, now);
    if (target.isEmpty() && plan.mayRepeatEndpoint()) {
      target = choose(vm -> false, now);
    }
    if (target.isPresent()) {
      named++;
      if (claim == null) {
        dispatch(target.get());
      } else {
        claim.prepared(target.get());
      }
      return;
    }
    Predicate<String> excluded = vm -> plan.wasTried(vm) && !plan.mayRepeatEndpoint();
    boolean connecting = services.chooser().mayBecomeUsable(request.backEnd(), excluded, now);
    long waited = TimeUnit.NANOSECONDS.toMillis(now - startNanos);
    if (connecting && waited < MAX_CONNECT_WAIT_MS) {
      services.scheduler().schedule(this::nextAttempt, CONNECT_WAIT_MS, TimeUnit.MILLISECONDS);
    } else if (lastFailure != null) {
      refuse(lastFailure);
    } else if (claim != null) {
      claim.noEndpoint();
    } else {
      refuse(EntryRefusal.NO_ENDPOINT);
    }
  }

  private Optional<Target> choose(Predicate<String> excluded, long now) {
    String attemptId = request.requestId() + "." + (named + 1);
    return services
        .chooser()
        .choose(request.backEnd(), request.prefixHash(), attemptId, excluded, now);
  }

  /** Sends an attempt to its endpoint. */
  synchronized void dispatch(Target target) {
    if (ended) {
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
    AttemptExchange opened =
        new AttemptExchange(
            target, request.requestId(), new Handler(), services.metrics().droppedPayloads);
    attempt = opened;
    Payload payload = Payload.dispatch(request.toDispatch(target, remainingMs));
    opened.opened(
        services.link().open(target.address(), payload, new LockedListener(this, opened)));
  }

  private void follow(Next next, String reason, Refusals.Response otherwise) {
    switch (next) {
      case GO_ELSEWHERE -> {
        services.metrics().retries.labelValues(reason).inc();
        response.reset();
        lastFailure = otherwise;
        if (claim == null) {
          nextAttempt();
        } else {
          claim.notRun();
        }
      }
      case ASK -> {
        Claim asked = attempt.target().toClaim(request.digest());
        inquiry.ask(asked, request.account(), this::isWanted, this::reported);
      }
      default -> refuse(otherwise);
    }
  }

  private synchronized void reported(AttemptReport report, RunReport details) {
    if (ended) {
      return;
    }
    switch (report) {
      case FINISHED -> replay(CallerHeaders.answerOf(details, request.requestId()), "endpoint");
      case REVOKED -> {
        events.revoked(attempt.target().attemptId());
        follow(
            plan.notRun(true, services.clock().nanoTime()),
            "revoked",
            refusal(EntryRefusal.RETRY_BUDGET));
      }
      case RUNNING -> follow(Next.ASK, "running", null);
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
    if (claim != null) {
      claim.finished(answer);
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

  private Refusals.Response refusal(EntryRefusal refusal) {
    return refusal(refusal, knowledge());
  }

  private Refusals.Response refusal(EntryRefusal refusal, RunState run) {
    return Refusals.of(refusal, run, request.requestId(), request.backEnd().name());
  }

  private RunState knowledge() {
    return claim != null && claim.knowledge() != RunState.NOT_RUN
        ? claim.knowledge()
        : plan.knowledge();
  }

  synchronized void refuse(EntryRefusal refusal) {
    refuse(refusal(refusal));
  }

  synchronized void refuse(EntryRefusal refusal, RunState run) {
    refuse(refusal(refusal, run));
  }

  private void refuse(Refusals.Response refusal) {
    if (ended) {
      return;
    }
    if (response.isStarted()) {
      breakOff(refusal.kind());
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
  private void breakOff(String reason) {
    events.broken(reason);
    response.abort();
    end();
  }

  private synchronized void deadlinePassed() {
    if (ended) {
      return;
    }
    // A claimed run continues, so that a resend with the same key gets its answer.
    if (attempt != null) {
      attempt.abandon(claim == null);
    }
    if (response.isStarted()) {
      breakOff("deadline");
    } else {
      refuse(EntryRefusal.DEADLINE_PASSED);
    }
  }

  synchronized void callerGone() {
    if (ended) {
      return;
    }
    callerPresent = false;
    services.metrics().callersGone.inc();
    if (attempt != null) {
      attempt.abandon(claim == null);
    }
    end();
  }

  private void end() {
    if (!ended) {
      ended = true;
      deadline.cancel();
      onEnd.run();
    }
  }

  /** Handles the events of the current attempt. Called with the lock of the request held. */
  private final class Handler implements AttemptExchange.Events {
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
      attempt.abandon(claim == null);
      breakOff(reason);
    }

    @Override
    public void end(AnswerEnd answerEnd) {
      if (response.lacksSentBytes()) {
        breakOff("answers-differ");
        return;
      }
      events.answered(response.status());
      if (claim != null) {
        claim.finished(response.kept());
      }
      response.end(RequestRun.this::end);
    }

    @Override
    public void refused(Refusal refusal) {
      long now = services.clock().nanoTime();
      EndpointRefusal known = new EndpointRefusal(refusal);
      if (known.kind() == RefusalKind.LEAVING) {
        Target target = attempt.target();
        services.endpoints().markLeaving(target.vm(), target.incarnation(), now);
      }
      boolean retryable = known.mayGoElsewhere(request);
      Next next =
          known.run() == RunState.NOT_RUN
              ? plan.notRun(retryable, now)
              : plan.refusedUnknown(retryable, now);
      RunState run = known.run() == RunState.RAN ? RunState.RAN : knowledge();
      follow(next, "refused", known.response(run, request.requestId()));
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
        follow(plan.neverWritten(now), "never-written", refusal(EntryRefusal.NO_ENDPOINT));
      } else {
        interrupted("connection-lost", EntryRefusal.CONNECTION_LOST);
      }
    }

    private void interrupted(String reason, EntryRefusal otherwise) {
      if (response.isStarted() && !request.idempotent()) {
        breakOff(reason);
        return;
      }
      Next next = plan.unknown(services.clock().nanoTime());
      follow(next, reason, refusal(otherwise));
    }
  }
}
