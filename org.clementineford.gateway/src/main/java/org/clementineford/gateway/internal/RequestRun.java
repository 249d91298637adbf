package org.clementineford.gateway.internal;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.clementineford.gateway.EndpointSend;
import org.clementineford.kernel.Scheduler;
import org.clementineford.serving.model.CallerRequest;
import org.clementineford.serving.model.ClientAccount;
import org.clementineford.serving.model.EngineProfile;
import org.clementineford.serving.model.RequestKind;
import org.clementineford.serving.model.Route;
import org.clementineford.serving.queueing.WaitingRequest;
import org.clementineford.serving.routing.AttemptOutcome;
import org.clementineford.serving.routing.EndpointState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A caller's request, from its arrival to its final response. Not thread-safe. */
final class RequestRun {
  private static final Logger LOG = LoggerFactory.getLogger(RequestRun.class);

  /** Timeout of requests that do not specify one, in milliseconds. */
  private static final long DEFAULT_TIMEOUT_MS = 10_000;

  /** Retry delay of callers that should retry soon, in seconds. */
  private static final double SOON_SECONDS = 0.2;

  private final RequestRouter router;
  private final CallerExchange exchange;
  private final CallerRequest request;
  private final long arrivedAt;
  private final Set<String> tried = new HashSet<>();
  private Route route;
  private String service = "";
  private long deadlineAt;
  private long callerDeadlineAt;
  private Scheduler.Cancellable deadlineTimer;
  private EndpointAttempt attempt;
  private EndpointState lastEndpoint;
  private int attempts;
  private boolean mayHaveRun;
  private String lastEvent;
  private Failure failure;
  private long firstAnswerMs = -1;
  private long sentAfterMs = -1;
  private int loadBefore = -1;
  private long reportNumber = -1;
  private long predictedWaitMs = -1;
  private double retryAfterSeconds;
  private boolean finished;

  RequestRun(RequestRouter router, CallerExchange exchange, CallerRequest request) {
    this.router = router;
    this.exchange = exchange;
    this.request = request;
    this.arrivedAt = now();
  }

  void start(Route matched, String chosenService) {
    route = matched;
    service = chosenService;
    long callerMs = request.timeoutMs().orElse(DEFAULT_TIMEOUT_MS);
    long routeMs = route.timeoutMs();
    callerDeadlineAt = arrivedAt + TimeUnit.MILLISECONDS.toNanos(callerMs);
    deadlineAt = arrivedAt + TimeUnit.MILLISECONDS.toNanos(Math.min(callerMs, routeMs));
    exchange.onGone(this::callerGone);
    exchange.onWritable(this::callerWritable);
    Optional<Ending> rejected = router.checkKey(this);
    if (rejected.isPresent()) {
      endOrRefuse(rejected.get());
      return;
    }
    deadlineTimer =
        router.scheduler().schedule(this::deadline, deadlineAt - now(), TimeUnit.NANOSECONDS);
    router.state().budget(service).request(now());
    router.place(this);
  }

  private long now() {
    return router.state().clock().nanoTime();
  }

  CallerRequest request() {
    return request;
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

  Set<String> tried() {
    return tried;
  }

  int promptTokens() {
    return request.promptTokens();
  }

  double answerTokens(EngineProfile profile) {
    double expected = request.expectedTokens().orElse((int) profile.usualAnswerTokens());
    return request.answerTokens() > 0 ? Math.min(expected, request.answerTokens()) : expected;
  }

  double remainingMs() {
    return (deadlineAt - now()) / (double) TimeUnit.MILLISECONDS.toNanos(1);
  }

  WaitingRequest<RequestRun> waiting(double costMs) {
    Optional<ClientAccount> account = router.account(this);
    int rank = route.priority();
    if (account.isPresent()) {
      rank = account.get().priority().orElse(rank);
    }
    return new WaitingRequest<>(
        this,
        arrivedAt,
        arrivedAt + TimeUnit.MILLISECONDS.toNanos(route.targetLatencyMs()),
        deadlineAt,
        rank,
        account.map(ClientAccount::name).orElse(""),
        costMs);
  }

  /** Sends the request to an endpoint, or ends it if its key is no longer accepted. */
  void send(EndpointState endpoint) {
    Optional<Ending> rejected = router.checkKey(this);
    if (rejected.isPresent()) {
      endOrRefuse(rejected.get());
      return;
    }
    attempts++;
    lastEndpoint = endpoint;
    sentAfterMs = TimeUnit.NANOSECONDS.toMillis(now() - arrivedAt);
    loadBefore = endpoint.load();
    reportNumber = endpoint.report().number();
    tried.add(endpoint.endpoint().id());
    attempt = new EndpointAttempt(this, router, endpoint, lastEvent != null);
    attempt.start(endpointRequest(endpoint));
  }

  private FullHttpRequest endpointRequest(EndpointState endpoint) {
    FullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            exchange.head().method(),
            exchange.head().uri(),
            Unpooled.wrappedBuffer(exchange.body()));
    HttpHeaders headers = HopHeaders.without(exchange.head().headers());
    router
        .protocol()
        .prepare(
            headers,
            new EndpointSend(
                Math.max(1, TimeUnit.NANOSECONDS.toMillis(callerDeadlineAt - now())),
                endpoint.endpoint().id(),
                router.account(this).map(ClientAccount::name),
                Optional.ofNullable(lastEvent)));
    message.headers().add(headers);
    if (exchange.body().length > 0 || !exchange.head().method().equals(HttpMethod.GET)) {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, exchange.body().length);
    }
    return message;
  }

  /** Forwards a complete response to the caller. */
  void answer(int status, HttpHeaders headers, byte[] body) {
    firstAnswer();
    HttpHeaders passed = HopHeaders.without(headers);
    if (exchange.head().method().equals(HttpMethod.HEAD)) {
      // A response to HEAD has no body, so the endpoint's Content-Length is kept.
      passed.set(HttpHeaderNames.CONTENT_LENGTH, headers.getAll(HttpHeaderNames.CONTENT_LENGTH));
    }
    exchange.respond(status, passed, body);
    finish("ANSWERED_" + status);
  }

  /** Forwards the head of a streamed response to the caller. */
  void startStream(int status, HttpHeaders headers) {
    firstAnswer();
    exchange.start(status, HopHeaders.without(headers));
  }

  private void firstAnswer() {
    firstAnswerMs = TimeUnit.NANOSECONDS.toMillis(now() - arrivedAt);
    router.metrics().answered(firstAnswerMs);
  }

  void event(byte[] bytes, String identity) {
    exchange.write(bytes);
    if (identity != null) {
      lastEvent = identity;
    }
    if (!exchange.isWritable()) {
      attempt.pauseReading(true);
    }
  }

  private void callerWritable() {
    if (attempt != null) {
      attempt.pauseReading(false);
    }
  }

  void endStream() {
    exchange.finish();
    finish("STREAMED");
  }

  /** Retries the request or ends it, after an attempt without a complete response. */
  void attemptFailed(EndpointState endpoint, AttemptOutcome outcome, String cause) {
    attempt = null;
    router.metrics().failed(outcome);
    LOG.atInfo()
        .addKeyValue("request", request.id())
        .addKeyValue("endpoint", endpoint.endpoint().id())
        .addKeyValue("outcome", outcome)
        .addKeyValue("cause", cause)
        .addKeyValue("attempt", attempts)
        .addKeyValue("failureScore", Math.round(endpoint.failureScore(now()) * 100) / 100.0)
        .log("attempt failed");
    if (finished) {
      return;
    }
    if (outcome == AttemptOutcome.NOT_CONNECTED) {
      // No endpoint received the request, so the attempt does not count towards the route's limit.
      attempts--;
    }
    mayHaveRun |= !outcome.provesNotRun();
    boolean repeatable = outcome.provesNotRun() || route.mayRunAgain();
    if (repeatable && canContinueStream() && attempts < route.maxAttempts() && hasBudget(outcome)) {
      router.place(this);
    } else if (exchange.isStarted()) {
      exchange.abort();
      finish("BROKEN_OFF");
    } else if (mayHaveRun) {
      end(Ending.OUTCOME_UNKNOWN);
    } else {
      refuse(Ending.REJECTED, SOON_SECONDS);
    }
  }

  private boolean canContinueStream() {
    return !exchange.isStarted() || lastEvent != null;
  }

  private boolean hasBudget(AttemptOutcome outcome) {
    return outcome == AttemptOutcome.NOT_CONNECTED
        || router.state().budget(service).tryRepeat(now());
  }

  /** Returns whether the request may be retried after a response that reports a failure. */
  boolean mayRetryFailure() {
    return route.kind() == RequestKind.IDEMPOTENT && attempts < route.maxAttempts();
  }

  private void endOrRefuse(Ending ending) {
    if (ending.asksToReturn()) {
      refuse(ending, router.state().admission().retryAfterSeconds(0));
    } else {
      end(ending);
    }
  }

  /** Records, for the log, the wait predicted when no engine had a free slot for the request. */
  void predictedWait(double waitMs) {
    predictedWaitMs = (long) Math.min(waitMs, Integer.MAX_VALUE);
  }

  /**
   * Ends the request with the response that it did not run and may be retried. If an attempt may
   * have run it, the response is that the outcome is unknown. A stream that has started is aborted.
   */
  void refuse(Ending ending, double retryAfterSeconds) {
    if (exchange.isStarted()) {
      exchange.abort();
      finish("BROKEN_OFF");
      return;
    }
    if (mayHaveRun) {
      end(Ending.OUTCOME_UNKNOWN);
      return;
    }
    this.retryAfterSeconds = retryAfterSeconds;
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", retryAfterSeconds));
    exchange.respond(ending.status(), headers, new byte[0]);
    finish(ending.name());
  }

  /** Keeps an endpoint's failure response, to forward it if no other endpoint answers. */
  void keepFailure(int status, HttpHeaders headers, byte[] body) {
    failure = new Failure(status, headers.copy(), body);
  }

  private record Failure(int status, HttpHeaders headers, byte[] body) {}

  /** Ends the request with the failure response kept from an endpoint, else with the given one. */
  void end(Ending ending) {
    if (failure != null) {
      answer(failure.status, failure.headers, failure.body);
      return;
    }
    exchange.respond(ending.status(), EmptyHttpHeaders.INSTANCE, new byte[0]);
    finish(ending.name());
  }

  private void deadline() {
    if (finished) {
      return;
    }
    if (attempt != null) {
      attempt.timedOut();
      attempt = null;
      mayHaveRun = true;
    }
    router.removeWaiting(this);
    if (exchange.isStarted()) {
      exchange.abort();
      finish("CUT_AT_DEADLINE");
    } else if (mayHaveRun) {
      end(Ending.TIMED_OUT);
    } else {
      refuse(Ending.NOT_SENT_IN_TIME, SOON_SECONDS);
    }
  }

  private void callerGone() {
    if (finished) {
      return;
    }
    if (attempt != null && route.kind() != RequestKind.NON_IDEMPOTENT) {
      attempt.cancel();
    }
    router.removeWaiting(this);
    finish("CALLER_GONE");
  }

  private void finish(String ending) {
    final EndpointState endpoint = lastEndpoint;
    if (finished) {
      return;
    }
    finished = true;
    if (deadlineTimer != null) {
      deadlineTimer.cancel();
    }
    router.ended();
    router.metrics().ended(ending);
    LOG.atInfo()
        .addKeyValue("request", request.id())
        .addKeyValue("ending", ending)
        .addKeyValue("route", route == null ? "" : route.name())
        .addKeyValue("service", service)
        .addKeyValue("endpoint", endpoint == null ? "" : endpoint.endpoint().id())
        .addKeyValue("attempts", attempts)
        .addKeyValue("promptTokens", promptTokens())
        .addKeyValue("firstMs", firstAnswerMs)
        .addKeyValue("totalMs", TimeUnit.NANOSECONDS.toMillis(now() - arrivedAt))
        .addKeyValue("sentAfterMs", sentAfterMs)
        .addKeyValue("load", loadBefore)
        .addKeyValue("report", reportNumber)
        .addKeyValue("predictedWaitMs", predictedWaitMs)
        .addKeyValue("retryAfterSeconds", Math.round(retryAfterSeconds * 100) / 100.0)
        .addKeyValue("weights", endpoint == null ? -1 : endpoint.weightVersion())
        .addKeyValue(
            "configuration",
            router.state().configuration() == null ? 0 : router.state().configuration().version())
        .addKeyValue("configurationAgeMs", router.configurationAgeMs())
        .log("request ended");
  }
}
