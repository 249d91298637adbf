package org.clementineford.gateway.internal;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.HashSet;
import java.util.Set;
import org.clementineford.serving.model.RequestKind;
import org.clementineford.serving.routing.AttemptOutcome;
import org.clementineford.serving.routing.EndpointState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The attempts of a request at endpoints: the current one, and one that is to take over from it
 * while it is silent. Not thread-safe.
 */
final class RequestAttempts {
  private static final Logger LOG = LoggerFactory.getLogger(RequestAttempts.class);

  private final ProxiedRequest request;
  private final RequestRouter router;
  private final Set<String> triedEndpoints = new HashSet<>();
  private EndpointAttempt current;
  private EndpointAttempt successor;
  private String silenceCause = "";
  private int count;
  private boolean mayHaveRun;

  RequestAttempts(ProxiedRequest request, RequestRouter router) {
    this.request = request;
    this.router = router;
  }

  /** Returns the IDs of the endpoints to which the request was sent. */
  Set<String> triedEndpoints() {
    return triedEndpoints;
  }

  /** Returns the number of attempts that count towards the limit of the route. */
  int count() {
    return count;
  }

  /** Returns whether an attempt that ended may have run the request. */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns whether the endpoint of the current attempt has shown that it is sound. */
  boolean isSound() {
    return current != null && current.isSound();
  }

  /** Returns whether an endpoint may still be at work on the request. */
  boolean isInProgress() {
    return current != null && !current.isEnded();
  }

  /** Begins an attempt. */
  void begin(EndpointState endpoint) {
    FullHttpRequest message = request.encodedFor(endpoint);
    current = newAttempt(endpoint);
    current.start(message);
  }

  private EndpointAttempt newAttempt(EndpointState endpoint) {
    count++;
    request.trace().recordSend(endpoint);
    triedEndpoints.add(endpoint.endpoint().id());
    return new EndpointAttempt(request, router, endpoint, request.continuesStream());
  }

  /**
   * Begins an attempt at another endpoint. The silent one goes on until the request can be written
   * to the other, which may not be reachable.
   */
  void moveTo(EndpointState endpoint, String cause) {
    final FullHttpRequest message = request.encodedFor(endpoint);
    router.state().retryBudget(request.service()).tryRetry(router.state().clock().nanoTime());
    silenceCause = cause;
    successor = newAttempt(endpoint);
    successor.start(message);
  }

  /** Returns whether another attempt takes over from a silent one once it is connected. */
  boolean isMoving() {
    return successor != null;
  }

  /** Ends the silent attempt if the one that takes over from it is connected. */
  void connected(EndpointAttempt connected) {
    if (connected != successor) {
      return;
    }
    EndpointAttempt silent = current;
    current = successor;
    successor = null;
    mayHaveRun |= silent.isSent();
    silent.cancel();
    recordFailed(silent, AttemptOutcome.SILENT, silenceCause);
  }

  /** Withdraws the attempt that was to take over from one that is no longer silent. */
  void cancelMove() {
    if (successor != null) {
      EndpointAttempt unsent = successor;
      successor = null;
      count--;
      triedEndpoints.remove(unsent.endpoint().endpoint().id());
      unsent.cancel();
    }
  }

  /**
   * Records that an attempt brought no complete response.
   *
   * @return true if another attempt goes on
   */
  boolean failed(EndpointAttempt failed, AttemptOutcome outcome, String cause) {
    mayHaveRun |= !outcome.provesNotRun();
    recordFailed(failed, outcome, cause);
    if (failed == successor) {
      successor = null;
      count--;
      return true;
    }
    current = successor;
    successor = null;
    if (outcome == AttemptOutcome.NOT_CONNECTED) {
      // No endpoint received the request, so the attempt does not count towards the route's limit.
      count--;
    }
    return current != null;
  }

  private void recordFailed(EndpointAttempt failed, AttemptOutcome outcome, String cause) {
    router.metrics().recordFailedAttempt(outcome);
    double failureScore = failed.endpoint().failureScore(router.state().clock().nanoTime());
    LOG.atInfo()
        .addKeyValue("request", request.metadata().id())
        .addKeyValue("endpoint", failed.endpoint().endpoint().id())
        .addKeyValue("outcome", outcome)
        .addKeyValue("cause", cause)
        .addKeyValue("attempt", count)
        .addKeyValue("failureScore", Math.round(failureScore * 100) / 100.0)
        .addKeyValue("writingMs", failed.writingMs())
        .addKeyValue("promptParts", String.join(",", request.metadata().sharedPromptParts()))
        .addKeyValue(
            "identity",
            outcome.provesNotRun() ? "" : request.identity().asSuspect(request.service()).id())
        .log("attempt failed");
  }

  /** Ends the current attempt, because its response is no longer wanted. */
  void cancel() {
    EndpointAttempt cancelled = current;
    current = null;
    if (cancelled != null) {
      mayHaveRun |= cancelled.isSent();
      cancelled.cancel();
    }
  }

  /** Ends the current attempt, because the deadline of the request has passed. */
  void onDeadline() {
    if (current != null) {
      current.onDeadline();
      current = null;
      mayHaveRun = true;
    }
  }

  /** Ends the current attempt, unless it was sent and the request must not run twice. */
  void onCallerDisconnected() {
    if (current != null
        && (request.route().kind() != RequestKind.NON_IDEMPOTENT || !current.isSent())) {
      current.cancel();
    }
  }

  /** Pauses or resumes the reading of the response. */
  void setReadingPaused(boolean paused) {
    if (current != null) {
      current.setReadingPaused(paused);
    }
  }
}
