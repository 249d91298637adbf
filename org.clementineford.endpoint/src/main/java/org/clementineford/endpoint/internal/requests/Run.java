package org.clementineford.endpoint.internal.requests;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.clementineford.requests.RefusalKind;
import org.clementineford.requests.RunState;
import org.clementineford.requests.admission.Attempt;
import org.clementineford.requests.admission.QueuedRequest;
import org.clementineford.transport.ExchangeFailure;
import org.clementineford.transport.IncomingExchange;
import org.clementineford.transport.http.HttpCall;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponseListener;
import org.clementineford.wire.AnswerHead;
import org.clementineford.wire.Dispatch;
import org.clementineford.wire.Payload;

/**
 * Execution of one attempt, from its admission to its end. The answer is sent to every attached
 * exchange.
 *
 * <p>The lock of the run is held while payloads are sent, so that each exchange receives them in
 * order. It is not held while the queue of the back end starts other runs.
 */
final class Run implements HttpResponseListener {
  static final String REQUEST_ID_HEADER = "X-Request-Id";

  /** Idle timeout of a stream. Engines send a token every 30 ms, so an idle stream is stuck. */
  private static final long STREAM_IDLE_TIMEOUT_MS = 10_000;

  private static final long MAX_TIMEOUT_MS = TimeUnit.HOURS.toMillis(1);

  private static final Set<String> CONNECTION_HEADERS =
      Set.of("connection", "keep-alive", "transfer-encoding", "content-length", "host", "te");

  private final Dispatch dispatch;
  private final Attempt attempt;
  private final LocalBackEnd backEnd;
  private final RequestServices services;
  private final QueuedRequest<Run> request;
  private final RunEvents events;
  private final AnswerBuffer answer;
  private final long timeoutMs;
  private final List<IncomingExchange> exchanges = new ArrayList<>(1);
  private final List<Runnable> endActions = new ArrayList<>(0);
  private State state = State.QUEUED;
  private Payload refusal;
  private BackEndServer server;
  private HttpCall call;
  private boolean resent;

  Run(Dispatch dispatch, Attempt attempt, LocalBackEnd backEnd, RequestServices services) {
    this.dispatch = dispatch;
    this.attempt = attempt;
    this.backEnd = backEnd;
    this.services = services;
    this.events = new RunEvents(dispatch, services.timeline());
    this.answer = new AnswerBuffer(dispatch.getRequestId());
    this.timeoutMs = Math.min(dispatch.getTimeoutMs(), MAX_TIMEOUT_MS);
    this.request =
        new QueuedRequest<>(
            dispatch.getClientAccount(),
            dispatch.isUrgent(),
            dispatch.getEstimatedCostTokens(),
            services.clock().nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs),
            this);
  }

  QueuedRequest<Run> request() {
    return request;
  }

  /** Sends the answer to an exchange: what has been received so far, and the rest as it arrives. */
  void attach(IncomingExchange exchange) {
    synchronized (this) {
      if (refusal != null) {
        exchange.finish(refusal);
        return;
      }
      if (!answer.isStored()) {
        exchange.finish(
            RefusalPayloads.create(
                dispatch.getRequestId(), RefusalKind.ANSWER_NOT_KEPT, RunState.RAN, "too long"));
        return;
      }
      answer.payloads().forEach(payload -> sendTo(exchange, payload));
      if (state == State.ENDED) {
        return;
      }
      exchanges.add(exchange);
    }
    exchange.onWritable(() -> setReading(true));
    exchange.onCancel(() -> detach(exchange));
  }

  static void sendTo(IncomingExchange exchange, Payload payload) {
    if (payload.isSetAnswerEnd()) {
      exchange.finish(payload);
    } else {
      exchange.send(payload);
    }
  }

  /** Calls an action when the run has ended; immediately if it has ended already. */
  void whenEnded(Runnable action) {
    synchronized (this) {
      if (state != State.ENDED) {
        endActions.add(action);
        return;
      }
    }
    action.run();
  }

  private void detach(IncomingExchange exchange) {
    boolean occupiedSlot;
    synchronized (this) {
      exchanges.remove(exchange);
      if (!exchanges.isEmpty() || state == State.ENDED) {
        setReading(true);
        return;
      }
      if (state == State.RUNNING && !attempt.idempotent()) {
        // The request may have taken effect already; its outcome is stored for later queries.
        setReading(true);
        return;
      }
      occupiedSlot = state == State.RUNNING;
      if (occupiedSlot) {
        cancelCall();
        end(RefusalKind.CANCELLED, RunState.UNKNOWN, "while running");
      } else {
        end(RefusalKind.CANCELLED, RunState.NOT_RUN, "while queued");
      }
    }
    afterEnd(occupiedSlot, request.estimatedCost());
  }

  private void cancelCall() {
    if (call != null) {
      call.cancel();
    }
  }

  private synchronized void setReading(boolean reading) {
    if (call != null && state == State.RUNNING) {
      call.setReading(reading);
    }
  }

  /** Refuses a run that is still queued; does nothing if it has started or ended. */
  void refuseQueued(RefusalKind kind) {
    synchronized (this) {
      if (state != State.QUEUED) {
        return;
      }
      end(kind, RunState.NOT_RUN, dispatch.getBackEnd());
    }
    afterEnd(false, 0);
  }

  synchronized boolean isQueued() {
    return state == State.QUEUED;
  }

  /** Ends the run with the most that is known about it, because the process ends now. */
  void processEnds() {
    boolean sent;
    RunState run;
    synchronized (this) {
      if (state == State.ENDED) {
        return;
      }
      sent = state == State.RUNNING;
      run = !sent ? RunState.NOT_RUN : answer.hasStarted() ? RunState.RAN : RunState.UNKNOWN;
      cancelCall();
      RefusalKind kind = sent ? RefusalKind.ENDPOINT_STOPPED : RefusalKind.LEAVING;
      end(kind, run, dispatch.getBackEnd());
    }
    events.processEnded(run);
    afterEnd(sent, sent ? request.estimatedCost() : 0);
  }

  /** Sends the request to the back end; returns false if the run has already started or ended. */
  boolean start() {
    synchronized (this) {
      if (state != State.QUEUED) {
        return false;
      }
      state = State.RUNNING;
      server = backEnd.acquireServer(this);
    }
    send();
    return true;
  }

  private void send() {
    Map<String, String> headers = new HashMap<>(dispatch.getHeaders());
    headers.keySet().removeIf(Run::isConnectionHeader);
    headers.put(REQUEST_ID_HEADER, dispatch.getRequestId());
    HttpRequest sent =
        new HttpRequest(dispatch.getMethod(), dispatch.getPath(), headers, dispatch.getBody());
    HttpCall started = services.httpClient().send(server.address(), sent, idleTimeoutMs(), this);
    synchronized (this) {
      call = started;
      if (state == State.ENDED) {
        started.cancel();
      }
    }
  }

  /**
   * Returns the idle timeout. An answer that is not streamed arrives only when it is complete, so
   * it may take the full timeout of the request.
   */
  private long idleTimeoutMs() {
    return dispatch.isStream()
        ? STREAM_IDLE_TIMEOUT_MS
        : Math.max(STREAM_IDLE_TIMEOUT_MS, timeoutMs);
  }

  private static boolean isConnectionHeader(String header) {
    return CONNECTION_HEADERS.contains(header.toLowerCase(java.util.Locale.ROOT));
  }

  @Override
  public void onHead(int status, Map<String, String> headers) {
    String echoed = headers.get(REQUEST_ID_HEADER);
    if (!dispatch.getRequestId().equals(echoed)) {
      fail(RefusalKind.WRONG_REQUEST_ID, RunState.UNKNOWN, "got " + echoed);
      return;
    }
    if (!headers.containsKey("Content-Length") && !headers.containsKey("Transfer-Encoding")) {
      // The end of such a body cannot be distinguished from a lost connection.
      fail(RefusalKind.BACK_END_BROKEN, RunState.RAN, "no length or chunked encoding");
      return;
    }
    String version = headers.get(EngineHeaders.MODEL_VERSION);
    String digest = headers.get(EngineHeaders.WEIGHTS_DIGEST);
    Optional<String> problem =
        backEnd
            .kind()
            .findWeightsMismatch(services.versions(), backEnd.name(), status, version, digest);
    if (problem.isPresent()) {
      fail(RefusalKind.MIXED_WEIGHTS, RunState.RAN, problem.get());
      return;
    }
    AnswerHead head =
        new AnswerHead(
            dispatch.getRequestId(), dispatch.getAttemptId(), status, forwardable(headers));
    head.setModelVersion(version).setWeightsDigest(digest);
    synchronized (this) {
      if (state == State.RUNNING) {
        broadcast(answer.start(head));
      }
    }
  }

  private static Map<String, String> forwardable(Map<String, String> headers) {
    Map<String, String> forwarded = new TreeMap<>(headers);
    forwarded.keySet().removeIf(Run::isConnectionHeader);
    return forwarded;
  }

  private void broadcast(Payload payload) {
    boolean writable = true;
    for (IncomingExchange exchange : exchanges) {
      sendTo(exchange, payload);
      writable &= exchange.isWritable();
    }
    if (!writable && call != null) {
      call.setReading(false);
    }
  }

  @Override
  public synchronized void onBody(byte[] bytes) {
    if (state == State.RUNNING) {
      broadcast(answer.append(bytes));
    }
  }

  @Override
  public void onEnd() {
    synchronized (this) {
      if (state != State.RUNNING) {
        return;
      }
      state = State.ENDED;
      Payload last = answer.complete(request.estimatedCost());
      if (!attempt.idempotent()) {
        answer.compact();
      }
      long now = services.clock().nanoTime();
      if (answer.isStored()) {
        services.registry().endAnswered(attempt, answer, answer.length(), now);
      } else {
        services.registry().endWithoutAnswer(attempt, RunState.RAN, now);
      }
      broadcast(last);
    }
    services.metrics().answered(backEnd.name(), dispatch.getClientAccount(), answer.actualCost());
    backEnd.recordSuccess(server);
    afterEnd(true, answer.actualCost());
  }

  @Override
  public void onFailure(ExchangeFailure failure, String cause) {
    if (failure.isCertainlyNotReceived()) {
      if (!resend()) {
        fail(RefusalKind.BACK_END_DOWN, RunState.NOT_RUN, backEnd.name());
      }
      return;
    }
    RunState run = answer.hasStarted() ? RunState.RAN : RunState.UNKNOWN;
    fail(RefusalKind.BACK_END_BROKEN, run, cause);
  }

  /** Resends a request that no server has received; returns false if all servers are down. */
  private boolean resend() {
    if (!resent) {
      // The server may just have closed an idle connection, which is not a failure.
      resent = true;
      send();
      return true;
    }
    backEnd.recordFailure(server, true, "refuses connections");
    if (backEnd.isDown()) {
      return false;
    }
    synchronized (this) {
      if (state == State.ENDED) {
        return true;
      }
      server.releaseSlot(this);
      server = backEnd.acquireServer(this);
      resent = false;
    }
    send();
    return true;
  }

  /** Ends the run if it is idempotent and no part of its answer has arrived from the server. */
  void giveUpIfRepeatable(BackEndServer unresponsive, String cause) {
    fail(
        RefusalKind.BACK_END_BROKEN,
        RunState.UNKNOWN,
        cause,
        () -> server == unresponsive && attempt.idempotent() && !answer.hasStarted());
  }

  private void fail(RefusalKind kind, RunState run, String detail) {
    fail(kind, run, detail, () -> true);
  }

  private void fail(RefusalKind kind, RunState run, String detail, BooleanSupplier condition) {
    synchronized (this) {
      if (state != State.RUNNING || !condition.getAsBoolean()) {
        return;
      }
      cancelCall();
      end(kind, run, detail);
    }
    events.broken(kind, detail);
    if (run != RunState.NOT_RUN && kind != RefusalKind.MIXED_WEIGHTS) {
      // Other weights are reported for a moment at each activation; the server itself is up.
      backEnd.recordFailure(server, false, detail);
    }
    afterEnd(true, run == RunState.NOT_RUN ? 0 : request.estimatedCost());
  }

  private void end(RefusalKind kind, RunState run, String detail) {
    state = State.ENDED;
    refusal = RefusalPayloads.create(dispatch.getRequestId(), kind, run, detail);
    services.metrics().refused(kind);
    long now = services.clock().nanoTime();
    if (run == RunState.NOT_RUN) {
      services.registry().endNotRun(attempt, now);
    } else {
      services.registry().endWithoutAnswer(attempt, run, now);
    }
    exchanges.forEach(exchange -> exchange.finish(refusal));
  }

  private void afterEnd(boolean occupiedSlot, long actualCost) {
    List<Runnable> actions;
    synchronized (this) {
      actions = List.copyOf(endActions);
      endActions.clear();
      exchanges.clear();
    }
    actions.forEach(Runnable::run);
    if (backEnd != null) {
      if (occupiedSlot) {
        backEnd.runFinished(request, server, actualCost);
      } else {
        backEnd.queue().remove(request);
      }
    }
    services.drainTracker().runEnded(this, services.clock().nanoTime());
  }

  private enum State {
    QUEUED,
    RUNNING,
    ENDED
  }
}
