package org.clementineford.gateway.internal;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.clementineford.gateway.EndpointResponseHead;
import org.clementineford.kernel.Scheduler;
import org.clementineford.serving.model.RequestKind;
import org.clementineford.serving.routing.AttemptOutcome;
import org.clementineford.serving.routing.EndpointState;
import org.clementineford.serving.streams.EventSplitter;
import org.clementineford.serving.streams.SilenceAction;
import org.clementineford.serving.streams.StreamEvent;
import org.clementineford.serving.streams.StreamSilence;

/** One attempt to run a request at one endpoint. */
final class EndpointAttempt implements EndpointResponseListener {
  /**
   * Time without a report of its VM after which an engine counts as not heard, in nanoseconds;
   * reports are repeated each 300 ms.
   */
  private static final long HEARD_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** Interval at which a silent attempt is checked, in milliseconds. */
  private static final long SILENCE_CHECK_MS = 250;

  /**
   * Part of the remaining time after which an idempotent request is retried elsewhere, if another
   * endpoint can take it.
   */
  private static final double IDEMPOTENT_TIMEOUT_FRACTION = 0.45;

  /**
   * Time of writing after which an engine is not expected to crash on the prompt, in milliseconds.
   * A prompt that crashes it does so when the first tokens are generated, within a pass or two of
   * about 100 ms under full load.
   */
  private static final long SOUND_WRITING_MS = 400;

  private static final int MIN_SERVER_ERROR_STATUS = 500;

  private final ProxiedRequest proxiedRequest;
  private final RequestRouter router;
  private final EndpointState endpoint;
  private final boolean continuesStream;
  private final EventSplitter eventSplitter = new EventSplitter();
  private final ByteArrayOutputStream bufferedBody = new ByteArrayOutputStream();
  private final OldWeightsRecall recall;
  private EndpointConnection connection;
  private EndpointResponseHead head;
  private HttpHeaders headers;
  private boolean streaming;
  private boolean prefillEnded;
  private boolean finished;
  private boolean writing;
  private boolean sound;
  private boolean complete;
  private boolean silenceRecorded;
  private long startedAt;
  private long firstEventAt;
  private Scheduler.Cancellable silenceTimer;

  EndpointAttempt(
      ProxiedRequest proxiedRequest,
      RequestRouter router,
      EndpointState endpoint,
      boolean continuesStream) {
    this.proxiedRequest = proxiedRequest;
    this.router = router;
    this.endpoint = endpoint;
    this.continuesStream = continuesStream;
    this.recall =
        new OldWeightsRecall(
            router.state(), router.input(), endpoint, proxiedRequest.guarded(this::recall));
  }

  void start(FullHttpRequest request) {
    startedAt = router.state().clock().nanoTime();
    endpoint.sent(proxiedRequest.promptTokens());
    endpoint.requestLimit().sent(router.state().clock().nanoTime());
    boolean repeatable = proxiedRequest.route().mayRunAgain();
    if (proxiedRequest.route().kind() == RequestKind.STREAM) {
      restartStreamTimer(StreamSilence.FIRST_EVENT, proxiedRequest.callerLeavesMs());
    } else if (repeatable && proxiedRequest.route().maxAttempts() > 1) {
      long timeoutMs = (long) (proxiedRequest.remainingMs() * IDEMPOTENT_TIMEOUT_FRACTION);
      scheduleSilenceCheck(() -> checkResponse(timeoutMs), timeoutMs);
    }
    if (repeatable) {
      recall.start();
    }
    EndpointResponseListener listener =
        new GuardedResponseListener(this, action -> proxiedRequest.guarded(action).run());
    router.pool().send(endpoint, request, repeatable, listener, proxiedRequest::guarded);
  }

  private void recall() {
    abort(AttemptOutcome.OLD_WEIGHTS, "no event before its weights become too old");
  }

  private void scheduleSilenceCheck(Runnable check, long delayMs) {
    silenceTimer =
        router.input().schedule(proxiedRequest.guarded(check), delayMs, TimeUnit.MILLISECONDS);
  }

  private void checkResponse(long silentMs) {
    onSilence(silentMs, () -> checkResponse(silentMs + SILENCE_CHECK_MS));
  }

  /** Restarts the timer that continues a silent stream at another endpoint. */
  private void restartStreamTimer(StreamSilence silence, long callerLeavesMs) {
    checkStream(silence, callerLeavesMs, router.state().clock().nanoTime());
  }

  private void checkStream(StreamSilence silence, long callerLeavesMs, long silentSince) {
    if (silenceTimer != null) {
      silenceTimer.cancel();
    }
    if (!proxiedRequest.route().mayRunAgain()) {
      return;
    }
    long now = router.state().clock().nanoTime();
    boolean heard = endpoint.wasHeardWithin(HEARD_NANOS, now);
    long silentMs = TimeUnit.NANOSECONDS.toMillis(now - silentSince);
    long leftMs = silence.limitMs(heard, callerLeavesMs) - silentMs;
    if (leftMs <= 0) {
      onSilence(silentMs, () -> checkStream(silence, callerLeavesMs, silentSince));
      return;
    }
    boolean beforeShortLimit = silentMs < silence.limitMs(false, callerLeavesMs);
    long delayMs =
        beforeShortLimit
            ? silence.limitMs(false, callerLeavesMs) - silentMs
            : Math.min(leftMs, SILENCE_CHECK_MS);
    scheduleSilenceCheck(() -> checkStream(silence, callerLeavesMs, silentSince), delayMs);
  }

  /**
   * Begins another attempt if one can begin now. Otherwise this one goes on, since a silent
   * endpoint may be sound, or fails if its caller should return soon.
   */
  private void onSilence(long silentMs, Runnable checkAgain) {
    if (!proxiedRequest.attempts().isMoving()) {
      Optional<EndpointState> other = proxiedRequest.findOtherEndpoint();
      SilenceAction action =
          SilenceAction.of(
              proxiedRequest.route().kind(),
              proxiedRequest.exchange().isResponseStarted(),
              other.isPresent());
      if (action == SilenceAction.FAIL) {
        abort(AttemptOutcome.SILENT, silenceCause(silentMs));
        return;
      }
      recordSilence();
      if (action == SilenceAction.BEGIN_ANOTHER_ATTEMPT) {
        proxiedRequest.attempts().moveTo(other.get(), silenceCause(silentMs));
      }
    }
    scheduleSilenceCheck(checkAgain, SILENCE_CHECK_MS);
  }

  private static String silenceCause(long silentMs) {
    return "no response within " + silentMs + " ms";
  }

  private void recordSilence() {
    if (!silenceRecorded) {
      silenceRecorded = true;
      router.pool().closeIdle(endpoint);
      endpoint.failed(AttemptOutcome.SILENT, router.state().clock().nanoTime());
    }
  }

  private void abort(AttemptOutcome outcome, String cause) {
    if (!finished) {
      closeConnection();
      onFailure(outcome, cause);
    }
  }

  private void closeConnection() {
    if (connection != null) {
      connection.cancel();
    }
  }

  /** Ends the attempt because the deadline of the request has passed. */
  void onDeadline() {
    if (!finished) {
      closeConnection();
      finish();
      if (head == null) {
        recordSilence();
      }
    }
  }

  EndpointState endpoint() {
    return endpoint;
  }

  /** Returns whether the request was written to a connection, so that the endpoint may run it. */
  boolean isSent() {
    return connection != null;
  }

  /** Ends the attempt because the caller has disconnected. */
  void cancel() {
    if (!finished) {
      closeConnection();
      finish();
    }
  }

  void setReadingPaused(boolean paused) {
    if (connection != null && !finished) {
      connection.setReadingPaused(paused);
    }
  }

  private void finish() {
    finished = true;
    if (silenceTimer != null) {
      silenceTimer.cancel();
    }
    recall.cancel();
    markPromptRead();
    endpoint.ended();
    router.dispatchWaiting(proxiedRequest.service());
  }

  private void markPromptRead() {
    if (!prefillEnded) {
      prefillEnded = true;
      endpoint.prefillEnded(proxiedRequest.promptTokens());
    }
  }

  private void recordEvent() {
    if (!writing) {
      writing = true;
      recall.cancel();
      firstEventAt = router.state().clock().nanoTime();
    } else if (!sound && writingMs() >= SOUND_WRITING_MS) {
      recordSound();
    }
  }

  private void recordAnswered() {
    long now = router.state().clock().nanoTime();
    endpoint.answered(now);
    router.state().stopAdmission().recordAnswer(proxiedRequest.service(), now - startedAt);
  }

  private void recordSound() {
    sound = true;
    router.quarantine().answered(proxiedRequest);
  }

  /** Returns whether the engine has answered, or has been writing for a while. */
  boolean isSound() {
    return sound;
  }

  /** Returns the time since the first event of this attempt, in milliseconds; -1 without events. */
  long writingMs() {
    return writing
        ? TimeUnit.NANOSECONDS.toMillis(router.state().clock().nanoTime() - firstEventAt)
        : -1;
  }

  @Override
  public String requestId() {
    return proxiedRequest.metadata().id();
  }

  @Override
  public boolean isEnded() {
    return finished;
  }

  @Override
  public boolean isPermitted() {
    return router.checkKey(proxiedRequest).isEmpty();
  }

  @Override
  public void onPermissionLost() {
    finish();
    proxiedRequest.attemptFailed(
        this, AttemptOutcome.NOT_CONNECTED, "key no longer accepted before the request");
  }

  @Override
  public void onConnected(EndpointConnection connection) {
    this.connection = connection;
    proxiedRequest.attempts().connected(this);
  }

  @Override
  public void onHead(EndpointResponseHead head, HttpHeaders headers) {
    this.head = head;
    this.headers = headers;
    if (head.leaving()) {
      router.endpointLeaves(endpoint);
    }
    if (!head.misdirected()) {
      router.state().updateRequestLimit(endpoint, head.requestLimit());
      router.state().beginPause(endpoint, head.pauseSeconds());
    }
    if (proxiedRequest.route().kind() != RequestKind.STREAM) {
      // The load of engines comes from the reports of their VMs, which are more recent.
      head.load().ifPresent(load -> endpoint.updateLoad(load.running(), load.waiting()));
    }
    boolean success = head.status() / 100 == 2;
    if (success && (!head.signed() || head.contentEncoded())) {
      abort(AttemptOutcome.BROKEN, "response without a signature or with a content encoding");
      return;
    }
    streaming = success && proxiedRequest.route().kind() == RequestKind.STREAM;
  }

  @Override
  public void onBody(byte[] bytes) {
    if (!streaming) {
      bufferedBody.writeBytes(bytes);
      return;
    }
    for (StreamEvent event : eventSplitter.add(bytes)) {
      if (finished) {
        return;
      }
      markPromptRead();
      recordEvent();
      restartStreamTimer(StreamSilence.NEXT_EVENT, proxiedRequest.route().callerPatienceMs());
      if (!proxiedRequest.exchange().isResponseStarted()) {
        proxiedRequest.startStream(head.status(), headers);
      }
      proxiedRequest.forwardEvent(event.bytes(), event.id());
      connection.passedOn();
    }
  }

  @Override
  public void onEnd() {
    if (finished) {
      return;
    }
    // The end of the connection may be a crash; only a length or a last chunk shows completeness.
    complete = hasDeclaredEnd();
    if (streaming) {
      endStream();
    } else if (head.notRun() || head.misdirected()) {
      AttemptOutcome outcome =
          head.misdirected() ? AttemptOutcome.OTHER_ENDPOINT : AttemptOutcome.REJECTED;
      onFailure(outcome, "status " + head.status());
    } else if (!head.signed()) {
      onFailure(AttemptOutcome.BROKEN, "status " + head.status() + " without a signature");
    } else {
      endBuffered();
    }
  }

  private boolean hasDeclaredEnd() {
    return headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
  }

  private void endBuffered() {
    boolean failure = head.status() >= MIN_SERVER_ERROR_STATUS;
    if (continuesStream || (failure && proxiedRequest.mayRetryFailureResponse())) {
      if (!continuesStream) {
        proxiedRequest.keepFailureResponse(head.status(), headers, bufferedBody.toByteArray());
      }
      onFailure(AttemptOutcome.BROKEN, "status " + head.status());
      return;
    }
    finish();
    recordAnswered();
    if (complete && !failure) {
      recordSound();
    }
    proxiedRequest.forwardResponse(head.status(), headers, bufferedBody.toByteArray());
  }

  private void endStream() {
    if (eventSplitter.isInsideEvent()) {
      onFailure(AttemptOutcome.BROKEN, "stream ended inside an event");
      return;
    }
    if (!complete && !writing) {
      onFailure(AttemptOutcome.BROKEN, "connection ended before the first event");
      return;
    }
    if (!proxiedRequest.exchange().isResponseStarted()) {
      proxiedRequest.startStream(head.status(), headers);
    }
    finish();
    recordAnswered();
    if (complete) {
      recordSound();
    }
    proxiedRequest.endStream();
  }

  @Override
  public void onConnectionFailure(boolean refused, String cause) {
    if (refused) {
      router.quarantine().stopped(endpoint);
    }
    onFailure(AttemptOutcome.NOT_CONNECTED, cause);
  }

  @Override
  public void onFailure(AttemptOutcome outcome, String cause) {
    if (finished) {
      return;
    }
    finish();
    if (outcome == AttemptOutcome.SILENT) {
      recordSilence();
    } else {
      endpoint.failed(outcome, router.state().clock().nanoTime());
    }
    if (outcome == AttemptOutcome.BROKEN && !complete && !sound) {
      router.quarantine().interrupted(proxiedRequest, endpoint);
    }
    proxiedRequest.attemptFailed(this, outcome, cause);
  }
}
