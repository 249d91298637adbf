package org.clementineford.entry.internal.requests;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.zip.CRC32C;
import org.clementineford.testing.VirtualTime;
import org.clementineford.transport.ExchangeFailure;
import org.clementineford.transport.ExchangeListener;
import org.clementineford.wire.AnswerEnd;
import org.clementineford.wire.AnswerHead;
import org.clementineford.wire.AnswerPart;
import org.clementineford.wire.Dispatch;
import org.clementineford.wire.Payload;
import org.clementineford.wire.Refusal;
import org.clementineford.wire.ReportOrRevoke;
import org.clementineford.wire.RunPhase;
import org.clementineford.wire.RunReport;
import org.clementineford.wire.RunState;

/** Simulates an endpoint with the run registry of section 4.3 of the design and test faults. */
final class FakeEndpoint {
  enum Behavior {
    ANSWER,
    /** Runs continue until {@link #finishRuns}. */
    KEEP_RUNNING,
    /** The run ends, and the connection breaks before the answer is sent. */
    LOSE_ANSWER,
    /** The connection breaks after the first part of the answer. */
    BREAK_STREAM,
    /** Nothing follows the first part of the answer. */
    STALL_STREAM,
    /** The head of the answer has the ID of another request. */
    CROSS_ANSWER,
    /** A part of the answer is missing. */
    SKIP_PART,
    /** Dispatches are held on an unresponsive connection until {@link #deliverHeldDispatches}. */
    HOLD_CONNECTION,
    REFUSE
  }

  private static final long OLDEST_TICK_MS = 10_000;
  private static final long REVOCATION_MS = 60_000;

  final String vm;
  final Map<String, Integer> runs = new TreeMap<>();
  final List<Dispatch> dispatches = new CopyOnWriteArrayList<>();
  final List<String> refusals = new ArrayList<>();
  long incarnation = 1;
  Behavior behavior = Behavior.ANSWER;
  boolean reachable = true;
  String answerPrefix = "";
  int cancellations;
  int loadReportRequests;
  Supplier<Payload> loadReport = () -> null;
  private final VirtualTime time;
  private final Map<String, Attempt> attempts = new HashMap<>();
  private final Map<String, Long> revoked = new HashMap<>();
  private final List<Runnable> heldDispatches = new ArrayList<>();

  FakeEndpoint(String vm, VirtualTime time) {
    this.vm = vm;
    this.time = time;
  }

  long tick() {
    return 1000 + TimeUnit.NANOSECONDS.toMillis(time.nanoTime());
  }

  /** Starts a new incarnation without a record of earlier runs and revocations. */
  void restart() {
    incarnation++;
    attempts.clear();
    revoked.clear();
  }

  void receive(Payload payload, ExchangeListener listener) {
    if (payload.isSetLoadReport()) {
      loadReportRequests++;
      listener.onPayload(loadReport.get(), true);
    } else if (payload.isSetReportOrRevoke()) {
      report(payload.getReportOrRevoke(), listener);
    } else if (behavior == Behavior.HOLD_CONNECTION) {
      heldDispatches.add(() -> dispatch(payload.getDispatch(), listener));
    } else {
      dispatch(payload.getDispatch(), listener);
    }
  }

  void deliverHeldDispatches() {
    List<Runnable> copies = List.copyOf(heldDispatches);
    heldDispatches.clear();
    copies.forEach(Runnable::run);
  }

  void finishRuns() {
    List.copyOf(attempts.values()).forEach(Attempt::finish);
  }

  private void dispatch(Dispatch dispatch, ExchangeListener listener) {
    dispatches.add(dispatch);
    String id = dispatch.getAttemptId();
    if (dispatch.getTargetIncarnation() != incarnation) {
      refuse("other-incarnation", dispatch, listener);
    } else if (tick() - dispatch.getAdmissionTick() > OLDEST_TICK_MS) {
      refuse("stale-dispatch", dispatch, listener);
    } else if (tick() - revoked.getOrDefault(id, -REVOCATION_MS) < REVOCATION_MS) {
      refuse("revoked", dispatch, listener);
    } else if (behavior == Behavior.REFUSE) {
      refuse("queue-full", dispatch, listener);
    } else {
      run(dispatch, listener);
    }
  }

  private void refuse(String kind, Dispatch dispatch, ExchangeListener listener) {
    refusals.add(kind);
    Refusal refusal =
        new Refusal(dispatch.getRequestId(), kind, RunState.NOT_RUN, "refused by the test", 1500);
    listener.onPayload(Payload.refusal(refusal), true);
  }

  private void run(Dispatch dispatch, ExchangeListener listener) {
    boolean keyed = dispatch.isSetIdempotencyKey();
    runs.merge(keyed ? dispatch.getIdempotencyKey() : dispatch.getPath(), 1, Integer::sum);
    Attempt attempt = new Attempt(dispatch, listener);
    attempts.put(dispatch.getAttemptId(), attempt);
    if (behavior != Behavior.KEEP_RUNNING) {
      attempt.finish();
    }
  }

  private void report(ReportOrRevoke inquiry, ExchangeListener listener) {
    String id = inquiry.getAttemptId();
    if (inquiry.getTargetIncarnation() != incarnation) {
      listener.onPayload(Payload.runReport(new RunReport(id, RunPhase.FORGOTTEN)), true);
      return;
    }
    Attempt attempt = attempts.get(id);
    if (attempt == null) {
      revoked.put(id, tick());
      listener.onPayload(Payload.runReport(new RunReport(id, RunPhase.REVOKED)), true);
    } else if (attempt.finished) {
      listener.onPayload(attempt.report(), true);
    } else {
      attempt.waiting.add(listener);
    }
  }

  private final class Attempt {
    private final Dispatch dispatch;
    private final ExchangeListener listener;
    private final List<ExchangeListener> waiting = new ArrayList<>();
    private boolean finished;

    Attempt(Dispatch dispatch, ExchangeListener listener) {
      this.dispatch = dispatch;
      this.listener = listener;
    }

    private byte[] body() {
      return (answerPrefix + "answer to " + new String(dispatch.getBody(), StandardCharsets.UTF_8))
          .getBytes(StandardCharsets.UTF_8);
    }

    private AnswerHead head() {
      return new AnswerHead(
          dispatch.getRequestId(),
          dispatch.getAttemptId(),
          200,
          Map.of("Content-Type", "text/plain"));
    }

    Payload report() {
      RunReport report = new RunReport(dispatch.getAttemptId(), RunPhase.FINISHED);
      return Payload.runReport(report.setHead(head()).setBody(body()));
    }

    void finish() {
      if (finished) {
        return;
      }
      finished = true;
      answer();
      waiting.forEach(waiter -> waiter.onPayload(report(), true));
    }

    private void answer() {
      String id = dispatch.getRequestId();
      if (behavior == Behavior.LOSE_ANSWER) {
        listener.onFailure(ExchangeFailure.UNKNOWN);
        return;
      }
      listener.onPayload(
          Payload.answerHead(
              behavior == Behavior.CROSS_ANSWER ? head().setRequestId("other") : head()),
          false);
      byte[] bytes = body();
      byte[] first = java.util.Arrays.copyOf(bytes, 3);
      final byte[] second = java.util.Arrays.copyOfRange(bytes, 3, bytes.length);
      listener.onPayload(Payload.answerPart(part(id, 0, first)), false);
      if (behavior == Behavior.STALL_STREAM) {
        return;
      }
      if (behavior == Behavior.BREAK_STREAM) {
        listener.onFailure(ExchangeFailure.UNKNOWN);
        return;
      }
      if (behavior != Behavior.SKIP_PART) {
        listener.onPayload(Payload.answerPart(part(id, 3, second)), false);
      }
      CRC32C checksum = new CRC32C();
      checksum.update(bytes);
      listener.onPayload(
          Payload.answerEnd(new AnswerEnd(id, bytes.length, checksum.getValue(), 5)), true);
    }

    private AnswerPart part(String id, long offset, byte[] bytes) {
      return new AnswerPart(id, offset, java.nio.ByteBuffer.wrap(bytes));
    }
  }
}
