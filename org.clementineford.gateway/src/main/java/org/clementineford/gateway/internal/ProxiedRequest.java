package org.clementineford.gateway.internal;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.clementineford.gateway.EndpointRequestContext;
import org.clementineford.kernel.Scheduler;
import org.clementineford.serving.model.EngineProfile;
import org.clementineford.serving.model.RequestKind;
import org.clementineford.serving.model.RequestMetadata;
import org.clementineford.serving.model.Route;
import org.clementineford.serving.model.RoutingClientAccount;
import org.clementineford.serving.quarantine.Suspect;
import org.clementineford.serving.queueing.WaitingQueue;
import org.clementineford.serving.queueing.WaitingRequest;
import org.clementineford.serving.routing.AttemptOutcome;
import org.clementineford.serving.routing.EndpointState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A caller's request, from its arrival to its final response. Not thread-safe. */
final class ProxiedRequest {
  private static final Logger LOG = LoggerFactory.getLogger(ProxiedRequest.class);

  /** Message of the line that reports a defect of the program. */
  static final String UNEXPECTED = "error while handling a request";

  /** Timeout of requests that do not specify one, in milliseconds. */
  private static final long DEFAULT_TIMEOUT_MS = 10_000;

  /** Retry delay of callers that should retry soon, in seconds. */
  private static final double SHORT_RETRY_SECONDS = 0.2;

  /** Retry delay of callers that another entry VM can serve at once, in seconds. */
  private static final double RETRY_ELSEWHERE_SECONDS = 0.05;

  private final RequestRouter router;
  private final CallerExchange exchange;
  private final RequestMetadata metadata;
  private final long arrivedAt;
  private final RequestTrace trace;
  private final RequestAttempts attempts;
  private Route route;
  private String service = "";
  private long deadlineAt;
  private long callerDeadlineAt;
  private Scheduler.Cancellable deadlineTimer;
  private String lastEventId;
  private long lastEventAt;
  private RequestIdentity identity;
  private FailureResponse failureResponse;
  private boolean finished;

  ProxiedRequest(RequestRouter router, CallerExchange exchange, RequestMetadata metadata) {
    this.router = router;
    this.exchange = exchange;
    this.metadata = metadata;
    this.arrivedAt = exchange.receivedAt();
    this.trace = new RequestTrace(router.state().clock(), arrivedAt);
    this.attempts = new RequestAttempts(this, router);
  }

  void start(Route matchedRoute, String chosenService) {
    route = matchedRoute;
    service = chosenService;
    long callerTimeoutMs = metadata.timeoutMs().orElse(DEFAULT_TIMEOUT_MS);
    long routeTimeoutMs = route.timeoutMs();
    callerDeadlineAt = arrivedAt + TimeUnit.MILLISECONDS.toNanos(callerTimeoutMs);
    deadlineAt =
        arrivedAt + TimeUnit.MILLISECONDS.toNanos(Math.min(callerTimeoutMs, routeTimeoutMs));
    exchange.onDisconnect(guarded(this::onCallerDisconnected));
    exchange.onWritable(guarded(this::onCallerWritable));
    if (endIfKeyIsRejected()) {
      return;
    }
    Optional<Suspect> quarantined = router.quarantine().quarantinedSuspect(this);
    if (quarantined.isPresent()) {
      refuseQuarantined(quarantined.get());
      return;
    }
    router.quarantine().started(this);
    deadlineTimer =
        router
            .input()
            .schedule(guarded(this::onDeadline), deadlineAt - now(), TimeUnit.NANOSECONDS);
    router.state().retryBudget(service).countRequest(now());
    router.place(this);
  }

  /** Ends the request if its key is not accepted, and returns whether it did. */
  boolean endIfKeyIsRejected() {
    Optional<FailureReason> rejected = router.checkKey(this);
    rejected.ifPresent(this::failOrRefuse);
    return rejected.isPresent();
  }

  /** Returns whether the request may go to another service or be refused, since it has not run. */
  boolean hasNotRun() {
    return !attempts.mayHaveRun() && !exchange.isResponseStarted();
  }

  /** Follows a route that is in force now. The deadline stays that of the route on arrival. */
  void changeRoute(Route routeInForce, String chosenService) {
    route = routeInForce;
    service = chosenService;
  }

  boolean isFinished() {
    return finished;
  }

  private long now() {
    return router.state().clock().nanoTime();
  }

  RequestMetadata metadata() {
    return metadata;
  }

  /** Returns what identifies this request among those that its caller sends again. */
  RequestIdentity identity() {
    if (identity == null) {
      String caller = router.clientAccount(this).map(RoutingClientAccount::name).orElse("");
      identity = new RequestIdentity(exchange, metadata.host(), caller);
    }
    return identity;
  }

  RequestTrace trace() {
    return trace;
  }

  CallerExchange exchange() {
    return exchange;
  }

  Route route() {
    return route;
  }

  String service() {
    return service;
  }

  RequestAttempts attempts() {
    return attempts;
  }

  Set<String> triedEndpoints() {
    return attempts.triedEndpoints();
  }

  int promptTokens() {
    return metadata.promptTokens();
  }

  double expectedAnswerTokens(EngineProfile profile) {
    double expected = metadata.expectedTokens().orElse((int) profile.meanAnswerTokens());
    return metadata.maxAnswerTokens() > 0
        ? Math.min(expected, metadata.maxAnswerTokens())
        : expected;
  }

  /** Returns the largest number of tokens of the answer, or the mean if there is no limit. */
  double mostAnswerTokens(EngineProfile profile) {
    return metadata.maxAnswerTokens() > 0 ? metadata.maxAnswerTokens() : profile.meanAnswerTokens();
  }

  /** Returns the time at which the request ends at the latest, on the monotonic clock. */
  long deadlineAt() {
    return deadlineAt;
  }

  double remainingMs() {
    return (deadlineAt - now()) / (double) TimeUnit.MILLISECONDS.toNanos(1);
  }

  /** Returns the time at which the caller leaves if it receives nothing until then. */
  private long leavesAt() {
    long patienceNanos = TimeUnit.MILLISECONDS.toNanos(route.callerPatienceMs());
    long silentSince = exchange.isResponseStarted() ? lastEventAt : arrivedAt;
    return Math.min(deadlineAt, silentSince + patienceNanos);
  }

  /** Returns the time until the caller leaves if it receives nothing, in milliseconds. */
  long callerLeavesMs() {
    return TimeUnit.NANOSECONDS.toMillis(leavesAt() - now());
  }

  /** Returns whether the caller has received a part of a stream, which another endpoint may end. */
  boolean isStarted() {
    return exchange.isResponseStarted();
  }

  WaitingRequest<ProxiedRequest> toWaitingRequest(double costMs) {
    if (isStarted()) {
      return WaitingRequest.startedStream(this, arrivedAt, deadlineAt, leavesAt(), costMs);
    }
    Optional<RoutingClientAccount> account = router.clientAccount(this);
    int priority = route.priority();
    if (account.isPresent()) {
      priority = account.get().priority().orElse(priority);
    }
    return new WaitingRequest<>(
        this,
        arrivedAt,
        arrivedAt + TimeUnit.MILLISECONDS.toNanos(route.targetLatencyMs()),
        deadlineAt,
        leavesAt(),
        priority,
        account.map(RoutingClientAccount::name).orElse(""),
        costMs);
  }

  /** Returns an action that ends this request, and no other one, if the given action throws. */
  Runnable guarded(Runnable action) {
    return () -> {
      try {
        action.run();
      } catch (RuntimeException | Error e) {
        failUnexpectedly(e);
      }
    };
  }

  /** Ends the request after an error in the program. */
  void failUnexpectedly(Throwable error) {
    LOG.atError()
        .setCause(error)
        .addKeyValue("request", metadata.id())
        .addKeyValue("service", service)
        .log(UNEXPECTED);
    try {
      attempts.cancel();
      if (!finished) {
        router.removeFromQueue(this);
        refuse(FailureReason.INTERNAL_ERROR, SHORT_RETRY_SECONDS);
      }
    } catch (RuntimeException | Error e) {
      LOG.atError().setCause(e).addKeyValue("request", metadata.id()).log(UNEXPECTED);
      exchange.abort();
      finish("BROKEN_OFF");
    }
  }

  /** Sends the request to an endpoint, or ends it if its key is no longer accepted. */
  void send(EndpointState endpoint) {
    guarded(() -> sendUnguarded(endpoint)).run();
  }

  private void sendUnguarded(EndpointState endpoint) {
    if (endIfKeyIsRejected()) {
      return;
    }
    attempts.begin(endpoint);
  }

  /** Returns the request for an attempt at an endpoint. */
  FullHttpRequest encodedFor(EndpointState endpoint) {
    return EndpointRequestEncoder.encode(
        exchange, router.protocol(), endpointRequestContext(endpoint));
  }

  /**
   * Returns an endpoint that can take the request now, while an attempt is silent. Changes nothing.
   */
  Optional<EndpointState> findOtherEndpoint() {
    boolean allowed =
        route.mayRunAgain()
            && mayTryAgain()
            && router.state().stopAdmission().admitsMove(this)
            && router.checkKey(this).isEmpty()
            && router.state().retryBudget(service).mayRetry(now());
    return allowed ? router.findEndpoint(this) : Optional.empty();
  }

  private EndpointRequestContext endpointRequestContext(EndpointState endpoint) {
    return new EndpointRequestContext(
        Math.max(1, TimeUnit.NANOSECONDS.toMillis(callerDeadlineAt - now())),
        endpoint.endpoint().id(),
        router.clientAccount(this).map(RoutingClientAccount::name),
        Optional.ofNullable(lastEventId));
  }

  /** Forwards a complete response to the caller. */
  void forwardResponse(int status, HttpHeaders headers, byte[] body) {
    recordFirstAnswer();
    HttpHeaders forwarded = HopByHopHeaders.copyWithout(headers);
    if (exchange.head().method().equals(HttpMethod.HEAD)) {
      // A response to HEAD has no body, so the endpoint's Content-Length is kept.
      forwarded.set(HttpHeaderNames.CONTENT_LENGTH, headers.getAll(HttpHeaderNames.CONTENT_LENGTH));
    }
    exchange.respond(status, forwarded, body);
    finish("ANSWERED_" + status);
  }

  /** Forwards the head of a streamed response to the caller. */
  void startStream(int status, HttpHeaders headers) {
    recordFirstAnswer();
    lastEventAt = now();
    exchange.startResponse(status, HopByHopHeaders.copyWithout(headers));
  }

  private void recordFirstAnswer() {
    router.metrics().recordFirstAnswer(trace.recordFirstAnswer());
  }

  void forwardEvent(byte[] bytes, String id) {
    attempts.cancelMove();
    lastEventAt = now();
    exchange.write(bytes);
    if (id != null) {
      // A stream that went on after an earlier event would bring this one again.
      lastEventId = canBeHeader(id) ? id : null;
    }
    if (!exchange.isWritable()) {
      attempts.setReadingPaused(true);
    }
  }

  /** Returns whether the next attempt continues a stream after its last event. */
  boolean continuesStream() {
    return lastEventId != null;
  }

  private static boolean canBeHeader(String id) {
    return !id.isEmpty() && id.chars().allMatch(each -> each >= ' ' && each <= '~');
  }

  private void onCallerWritable() {
    attempts.setReadingPaused(false);
  }

  void endStream() {
    exchange.finishResponse();
    finish("STREAMED");
  }

  /** Retries the request or ends it, after an attempt without a complete response. */
  void attemptFailed(EndpointAttempt failed, AttemptOutcome outcome, String cause) {
    if (attempts.failed(failed, outcome, cause) || finished) {
      return;
    }
    boolean repeatable = outcome.provesNotRun() || route.mayRunAgain();
    if (repeatable && mayTryAgain() && hasRetryBudget(outcome)) {
      router.place(this);
    } else if (exchange.isResponseStarted()) {
      exchange.abort();
      finish("BROKEN_OFF");
    } else if (attempts.mayHaveRun()) {
      fail(FailureReason.OUTCOME_UNKNOWN);
    } else {
      refuse(FailureReason.REJECTED, SHORT_RETRY_SECONDS);
    }
  }

  /** Ends the request, unless an endpoint has shown that it is sound. */
  void suspectQuarantined(Suspect suspect) {
    if (finished || attempts.isSound()) {
      return;
    }
    attempts.cancel();
    router.removeFromQueue(this);
    refuseQuarantined(suspect);
  }

  private void refuseQuarantined(Suspect suspect) {
    trace.recordQuarantinedSuspect(suspect.id());
    refuse(
        FailureReason.quarantined(suspect.kind()), router.quarantine().retryAfterSeconds(suspect));
  }

  /** Returns whether a stream sent now can bring an event before its caller leaves. */
  private boolean callerWaitsForAnswer() {
    return route.kind() != RequestKind.STREAM
        || leavesAt() - now() >= WaitingQueue.MIN_ANSWER_NANOS;
  }

  private boolean mayTryAgain() {
    return canContinueStream()
        && callerWaitsForAnswer()
        && router.quarantine().mayRetry(this)
        && attempts.count() < route.maxAttempts();
  }

  private boolean canContinueStream() {
    return !exchange.isResponseStarted() || lastEventId != null;
  }

  private boolean hasRetryBudget(AttemptOutcome outcome) {
    return outcome == AttemptOutcome.NOT_CONNECTED
        || router.state().retryBudget(service).tryRetry(now());
  }

  /** Returns whether the request may be retried after a response that reports a failure. */
  boolean mayRetryFailureResponse() {
    return route.kind() == RequestKind.IDEMPOTENT
        && (attempts.isMoving() || attempts.count() < route.maxAttempts());
  }

  private void failOrRefuse(FailureReason reason) {
    if (reason.isRetryable()) {
      refuse(reason, router.state().admission().retryAfterSeconds(0));
    } else {
      fail(reason);
    }
  }

  /**
   * Ends the request with the response that it did not run and may be retried. If an attempt may
   * have run it, the response is that the outcome is unknown. A stream that has started is aborted.
   */
  void refuse(FailureReason reason, double retryAfterSeconds) {
    if (attempts.mayHaveRun() || exchange.isResponseStarted()) {
      fail(FailureReason.OUTCOME_UNKNOWN);
      return;
    }
    trace.recordRetryAfter(retryAfterSeconds);
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", retryAfterSeconds));
    exchange.respond(reason.status(), headers, new byte[0]);
    finish(reason.name());
  }

  /** Keeps an endpoint's failure response, to forward it if no other endpoint answers. */
  void keepFailureResponse(int status, HttpHeaders headers, byte[] body) {
    failureResponse = new FailureResponse(status, headers.copy(), body);
  }

  private record FailureResponse(int status, HttpHeaders headers, byte[] body) {}

  /**
   * Ends the request with the failure response kept from an endpoint, else with the given one. A
   * stream that has started is aborted.
   */
  void fail(FailureReason reason) {
    if (exchange.isResponseStarted()) {
      exchange.abort();
      finish("BROKEN_OFF");
      return;
    }
    if (failureResponse != null) {
      forwardResponse(failureResponse.status, failureResponse.headers, failureResponse.body);
      return;
    }
    exchange.respond(reason.status(), EmptyHttpHeaders.INSTANCE, new byte[0]);
    finish(reason.name());
  }

  /**
   * Ends the request with what is known of it, because it would not end before this process. A
   * caller that is told so can go to another entry VM at once.
   */
  void endForStop() {
    if (finished) {
      return;
    }
    attempts.cancel();
    router.removeFromQueue(this);
    if (exchange.isResponseStarted()) {
      exchange.abort();
      finish("CUT_BY_STOP");
    } else if (attempts.mayHaveRun()) {
      fail(FailureReason.STOPPED);
    } else {
      refuse(FailureReason.STOPPING, RETRY_ELSEWHERE_SECONDS);
    }
  }

  private void onDeadline() {
    attempts.onDeadline();
    if (finished) {
      return;
    }
    router.removeFromQueue(this);
    if (exchange.isResponseStarted()) {
      exchange.abort();
      finish("CUT_AT_DEADLINE");
    } else if (attempts.mayHaveRun()) {
      fail(FailureReason.TIMED_OUT);
    } else {
      refuse(FailureReason.NOT_SENT_IN_TIME, SHORT_RETRY_SECONDS);
    }
  }

  private void onCallerDisconnected() {
    if (finished) {
      return;
    }
    attempts.onCallerDisconnected();
    router.removeFromQueue(this);
    finish("CALLER_GONE");
  }

  private void finish(String ending) {
    if (finished) {
      return;
    }
    finished = true;
    attempts.cancelMove();
    if (deadlineTimer != null && !attempts.isInProgress()) {
      deadlineTimer.cancel();
    }
    router.requestEnded(this);
    router.metrics().recordEnd(ending);
    trace
        .addTo(LOG.atInfo().addKeyValue("request", metadata.id()).addKeyValue("ending", ending))
        .addKeyValue("route", route == null ? "" : route.name())
        .addKeyValue("service", service)
        .addKeyValue("attempts", attempts.count())
        .addKeyValue("promptTokens", promptTokens())
        .addKeyValue(
            "configuration",
            router.state().configuration() == null ? 0 : router.state().configuration().version())
        .addKeyValue("configurationAgeMs", router.configurationAgeMs())
        .log("request ended");
  }
}
