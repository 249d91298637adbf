package org.clementineford.requests.admission;

import org.clementineford.requests.RefusalKind;
import org.clementineford.requests.RunState;

/**
 * Decision on a dispatch.
 *
 * @param verdict kind of the decision
 * @param run the run to attach to if the verdict is {@link Verdict#ATTACH}, else null
 * @param answer the stored answer if the verdict is {@link Verdict#REPLAY}, else null
 * @param refusal reason of the refusal if the verdict is {@link Verdict#REFUSE}, else null
 * @param runState run state of the attempt if the verdict is {@link Verdict#REFUSE}, else null
 * @param <R> type of runs
 * @param <A> type of answers
 */
public record AdmissionDecision<R, A>(
    Verdict verdict, R run, A answer, RefusalKind refusal, RunState runState) {

  static <R, A> AdmissionDecision<R, A> start() {
    return new AdmissionDecision<>(Verdict.START, null, null, null, null);
  }

  static <R, A> AdmissionDecision<R, A> attach(R run) {
    return new AdmissionDecision<>(Verdict.ATTACH, run, null, null, null);
  }

  static <R, A> AdmissionDecision<R, A> replay(A answer) {
    return new AdmissionDecision<>(Verdict.REPLAY, null, answer, null, null);
  }

  static <R, A> AdmissionDecision<R, A> refuse(RefusalKind kind) {
    return refuse(kind, kind.defaultRunState());
  }

  static <R, A> AdmissionDecision<R, A> refuse(RefusalKind kind, RunState runState) {
    return new AdmissionDecision<>(Verdict.REFUSE, null, null, kind, runState);
  }

  /** Kind of the decision. */
  public enum Verdict {
    /** The attempt is new and is now registered; the caller must run it or record it as not run. */
    START,
    /** The same attempt is already running; its answer is also sent on this exchange. */
    ATTACH,
    /** The same attempt has ended; its stored answer is sent again. */
    REPLAY,
    /** The dispatch is refused. */
    REFUSE
  }
}
