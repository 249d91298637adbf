package org.clementineford.gateway.internal;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.TimeUnit;
import org.clementineford.gateway.AnswerHead;
import org.clementineford.kernel.Scheduler;
import org.clementineford.serving.model.RequestKind;
import org.clementineford.serving.routing.AttemptOutcome;
import org.clementineford.serving.routing.EndpointState;
import org.clementineford.serving.streams.EventSplitter;
import org.clementineford.serving.streams.StreamEvent;

/** One attempt to run a request at one endpoint. */
final class EndpointAttempt implements EndpointCall {
  /** Longest wait for the first event of a stream, in milliseconds. */
  private static final long FIRST_EVENT_MS = 1_500;

  /**
   * Longest wait for the next event of a stream, in milliseconds. Callers abandon a stream after
   * two seconds without an event.
   */
  private static final long NEXT_EVENT_MS = 1_000;

  /** Part of the remaining time after which an idempotent request is retried elsewhere. */
  private static final double IDEMPOTENT_PART = 0.45;

  private static final int FIRST_FAILURE_STATUS = 500;

  private final RequestRun run;
  private final RequestRouter router;
  private final EndpointState endpoint;
  private final boolean continuation;
  private final EventSplitter events = new EventSplitter();
  private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
  private EndpointConnection connection;
  private AnswerHead head;
  private HttpHeaders headers;
  private boolean streaming;
  private boolean promptRead;
  private boolean over;
  private Scheduler.Cancellable silence;

  EndpointAttempt(
      RequestRun run, RequestRouter router, EndpointState endpoint, boolean continuation) {
    this.run = run;
    this.router = router;
    this.endpoint = endpoint;
    this.continuation = continuation;
  }

  void start(FullHttpRequest request) {
    endpoint.sent(run.promptTokens());
    boolean repeatable = run.route().mayRunAgain();
    if (run.route().kind() == RequestKind.STREAM) {
      expect(FIRST_EVENT_MS);
    } else if (repeatable && run.route().maxAttempts() > 1) {
      expect((long) (run.remainingMs() * IDEMPOTENT_PART));
    }
    router.pool().send(endpoint, request, repeatable, this);
  }

  /**
   * Restarts the timer that fails the attempt if nothing arrives in time. Requests that must not
   * run again have no such timer.
   */
  private void expect(long timeoutMs) {
    if (silence != null) {
      silence.cancel();
    }
    if (!run.route().mayRunAgain()) {
      return;
    }
    silence =
        router
            .scheduler()
            .schedule(
                () -> giveUp(AttemptOutcome.SILENT, "no response within " + timeoutMs + " ms"),
                timeoutMs,
                TimeUnit.MILLISECONDS);
  }

  private void giveUp(AttemptOutcome outcome, String cause) {
    if (!over) {
      closeConnection();
      failed(outcome, cause);
    }
  }

  private void closeConnection() {
    if (connection != null) {
      connection.cancel();
    }
  }

  /** Ends the attempt because the deadline of the request has passed. */
  void timedOut() {
    if (!over) {
      closeConnection();
      release();
      if (head == null) {
        router.pool().closeIdle(endpoint);
        endpoint.failed(AttemptOutcome.SILENT, router.state().clock().nanoTime());
      }
    }
  }

  /** Ends the attempt because the caller has disconnected. */
  void cancel() {
    if (!over) {
      closeConnection();
      release();
    }
  }

  void pauseReading(boolean paused) {
    if (connection != null && !over) {
      connection.pauseReading(paused);
    }
  }

  private void release() {
    over = true;
    if (silence != null) {
      silence.cancel();
    }
    readPrompt();
    endpoint.ended();
    router.pump(run.service());
  }

  private void readPrompt() {
    if (!promptRead) {
      promptRead = true;
      endpoint.promptRead(run.promptTokens());
    }
  }

  @Override
  public String requestId() {
    return run.request().id();
  }

  @Override
  public boolean connected(EndpointConnection connection) {
    this.connection = connection;
    return !over;
  }

  @Override
  public void head(AnswerHead head, HttpHeaders headers) {
    this.head = head;
    this.headers = headers;
    if (run.route().kind() != RequestKind.STREAM) {
      // The load of engines comes from the reports of their VMs, which are more recent.
      head.load().ifPresent(load -> endpoint.stated(load.running(), load.waiting()));
    }
    boolean success = head.status() / 100 == 2;
    if (success && (!head.proven() || head.encoded())) {
      giveUp(AttemptOutcome.BROKEN, "response without a signature or with a content encoding");
      return;
    }
    streaming = success && run.route().kind() == RequestKind.STREAM;
  }

  @Override
  public void body(byte[] bytes) {
    if (!streaming) {
      whole.writeBytes(bytes);
      return;
    }
    for (StreamEvent event : events.add(bytes)) {
      if (over) {
        return;
      }
      readPrompt();
      expect(NEXT_EVENT_MS);
      if (!run.exchange().isStarted()) {
        run.startStream(head.status(), headers);
      }
      run.event(event.bytes(), event.identity());
    }
  }

  @Override
  public void end() {
    if (over) {
      return;
    }
    if (streaming) {
      endStream();
    } else if (head.notRun() || head.otherEndpoint()) {
      AttemptOutcome outcome =
          head.otherEndpoint() ? AttemptOutcome.OTHER_ENDPOINT : AttemptOutcome.REJECTED;
      failed(outcome, "status " + head.status());
    } else if (!head.proven()) {
      failed(AttemptOutcome.BROKEN, "status " + head.status() + " without a signature");
    } else {
      endWhole();
    }
  }

  private void endWhole() {
    boolean failure = head.status() >= FIRST_FAILURE_STATUS;
    if (continuation || (failure && run.mayRetryFailure())) {
      if (!continuation) {
        run.keepFailure(head.status(), headers, whole.toByteArray());
      }
      failed(AttemptOutcome.BROKEN, "status " + head.status());
      return;
    }
    release();
    endpoint.answered(router.state().clock().nanoTime());
    run.answer(head.status(), headers, whole.toByteArray());
  }

  private void endStream() {
    if (events.isInsideEvent()) {
      failed(AttemptOutcome.BROKEN, "stream ended inside an event");
      return;
    }
    if (!run.exchange().isStarted()) {
      run.startStream(head.status(), headers);
    }
    release();
    endpoint.answered(router.state().clock().nanoTime());
    run.endStream();
  }

  @Override
  public void failed(AttemptOutcome outcome, String cause) {
    if (over) {
      return;
    }
    release();
    if (outcome == AttemptOutcome.SILENT) {
      router.pool().closeIdle(endpoint);
    }
    endpoint.failed(outcome, router.state().clock().nanoTime());
    run.attemptFailed(endpoint, outcome, cause);
  }
}
