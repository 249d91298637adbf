package org.clementineford.requests.attempts;

import java.util.HashSet;
import java.util.Set;
import org.clementineford.requests.RunState;

/**
 * Decides what to do after each attempt of one request. Not safe for use by several threads.
 *
 * <p>Idempotent requests go elsewhere within deadline and retry budget. Non-idempotent requests go
 * elsewhere only on proof that no copy ran; without proof the endpoint is asked to report or revoke
 * the attempt.
 */
public final class AttemptPlan {
  // More attempts than this meet a fault of the whole fleet, which further attempts make worse.
  private static final int MAX_ATTEMPTS = 5;

  private final boolean idempotent;
  private final long deadlineNanos;
  private final RetryBudget budget;
  private final Set<String> tried = new HashSet<>();
  private int attempts;
  private boolean mayHaveRun;
  private boolean pending;
  private boolean lastRefused;

  /**
   * Creates the plan of a request.
   *
   * @param idempotent true if the request may run more than once
   * @param deadlineNanos monotonic time at which the caller stops waiting
   * @param budget retry budget of the process
   */
  public AttemptPlan(boolean idempotent, long deadlineNanos, RetryBudget budget) {
    this.idempotent = idempotent;
    this.deadlineNanos = deadlineNanos;
    this.budget = budget;
  }

  /** What to do next. */
  public enum Next {
    /** Send the request to an endpoint that was not tried yet. */
    GO_ELSEWHERE,
    /** Ask the endpoint of the last attempt to report or revoke it. */
    ASK,
    /** Refuse the request; {@link #knowledge} says what to tell about a run. */
    REFUSE
  }

  /**
   * Counts an attempt that is about to be written.
   *
   * @param vm name of the endpoint
   */
  public void started(String vm) {
    tried.add(vm);
    lastRefused = false;
    attempts++;
    pending = true;
  }

  /**
   * Uses an endpoint only when no other is left.
   *
   * @param vm name of the endpoint
   */
  public void avoid(String vm) {
    tried.add(vm);
  }

  /**
   * Tells whether an endpoint was tried.
   *
   * @param vm name of the endpoint
   * @return true if the request goes there only when nothing else is left
   */
  public boolean wasTried(String vm) {
    return tried.contains(vm);
  }

  /**
   * Tells whether an endpoint that was tried may be tried again when no other is left.
   *
   * @return false if the last endpoint refused, because the answer must not wait for it
   */
  public boolean mayRepeatEndpoint() {
    return !lastRefused;
  }

  /**
   * Returns the number of attempts so far.
   *
   * @return 0 before the first
   */
  public int attempts() {
    return attempts;
  }

  /**
   * The last attempt was never written to a connection.
   *
   * @param nowNanos monotonic time
   * @return what to do next; needs no budget because no endpoint saw the attempt
   */
  public Next neverWritten(long nowNanos) {
    pending = false;
    return attempts < MAX_ATTEMPTS && nowNanos < deadlineNanos ? Next.GO_ELSEWHERE : Next.REFUSE;
  }

  /**
   * The endpoint stated that the last attempt was not run and will not run.
   *
   * @param retryableElsewhere true if another endpoint may accept it
   * @param nowNanos monotonic time
   * @return what to do next
   */
  public Next notRun(boolean retryableElsewhere, long nowNanos) {
    pending = false;
    lastRefused = true;
    return retryableElsewhere && mayRetry(nowNanos) ? Next.GO_ELSEWHERE : Next.REFUSE;
  }

  /**
   * The last attempt was written and its connection was lost, or its answer broke off before any
   * byte went to the caller.
   *
   * @param nowNanos monotonic time
   * @return what to do next
   */
  public Next unknown(long nowNanos) {
    pending = false;
    if (idempotent) {
      mayHaveRun = true;
      return mayRetry(nowNanos) ? Next.GO_ELSEWHERE : Next.REFUSE;
    }
    pending = true;
    return nowNanos < deadlineNanos ? Next.ASK : Next.REFUSE;
  }

  /**
   * The endpoint did not answer the question for a report, or has forgotten the attempt.
   *
   * @return always {@link Next#REFUSE}
   */
  public Next noReport() {
    pending = false;
    mayHaveRun = true;
    return Next.REFUSE;
  }

  /**
   * The endpoint refused and the request may have run there.
   *
   * @param retryableElsewhere true if another endpoint may accept it
   * @param nowNanos monotonic time
   * @return what to do next
   */
  public Next refusedUnknown(boolean retryableElsewhere, long nowNanos) {
    pending = false;
    lastRefused = true;
    mayHaveRun = true;
    return idempotent && retryableElsewhere && mayRetry(nowNanos) ? Next.GO_ELSEWHERE : Next.REFUSE;
  }

  /**
   * Returns what is known now about a run of this request.
   *
   * @return UNKNOWN as soon as any attempt may have run or may still run
   */
  public RunState knowledge() {
    return mayHaveRun || pending ? RunState.UNKNOWN : RunState.NOT_RUN;
  }

  private boolean mayRetry(long nowNanos) {
    return attempts < MAX_ATTEMPTS && nowNanos < deadlineNanos && budget.withdraw(nowNanos);
  }
}
