package org.clementineford.requests.attempts;

import java.util.HashSet;
import java.util.Set;
import org.clementineford.requests.RunState;

/**
 * Decides what to do after each attempt of one request. Not thread-safe.
 *
 * <p>Idempotent requests are retried on another endpoint within the deadline and the retry budget.
 * Non-idempotent requests are retried only if it is proven that no copy ran; without proof the
 * endpoint is asked to report or revoke the attempt.
 */
public final class AttemptPlan {
  // If this many attempts fail, the fault affects the entire fleet and more attempts would make it
  // worse.
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
   * @param deadlineNanos monotonic time at which the caller stops waiting, in nanoseconds
   * @param budget retry budget of the process
   */
  public AttemptPlan(boolean idempotent, long deadlineNanos, RetryBudget budget) {
    this.idempotent = idempotent;
    this.deadlineNanos = deadlineNanos;
    this.budget = budget;
  }

  /** Next step of the request. */
  public enum Next {
    /** Send the request to an endpoint that was not tried yet. */
    RETRY_ELSEWHERE,
    /** Ask the endpoint of the last attempt to report or revoke it. */
    ASK_ENDPOINT,
    /** Refuse the request with the run state from {@link #runState}. */
    REFUSE
  }

  /**
   * Records an attempt that is about to be sent.
   *
   * @param vm name of the endpoint VM
   */
  public void started(String vm) {
    tried.add(vm);
    lastRefused = false;
    attempts++;
    pending = true;
  }

  /**
   * Marks an endpoint to be used only if no other is left.
   *
   * @param vm name of the endpoint VM
   */
  public void markLastResort(String vm) {
    tried.add(vm);
  }

  /**
   * Returns whether an endpoint was tried or marked by {@link #markLastResort}.
   *
   * @param vm name of the endpoint VM
   * @return true if the request goes there only if no other endpoint is left
   */
  public boolean isLastResort(String vm) {
    return tried.contains(vm);
  }

  /**
   * Returns whether an endpoint that was tried may be tried again if no other is left.
   *
   * @return false if the last endpoint refused, because the response to the caller must not be
   *     delayed by waiting for it
   */
  public boolean mayRepeatEndpoint() {
    return !lastRefused;
  }

  /**
   * Returns the number of attempts so far.
   *
   * @return number of attempts, 0 before the first
   */
  public int attempts() {
    return attempts;
  }

  /**
   * Records that the last attempt was never written to a connection.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @return the next step; a retry needs no retry budget because no endpoint received the attempt
   */
  public Next neverWritten(long nowNanos) {
    pending = false;
    return attempts < MAX_ATTEMPTS && nowNanos < deadlineNanos ? Next.RETRY_ELSEWHERE : Next.REFUSE;
  }

  /**
   * Records that, according to the endpoint, the last attempt was not run and will not be run.
   *
   * @param otherEndpointMayAccept true if another endpoint may accept the request
   * @param nowNanos monotonic time in nanoseconds
   * @return the next step
   */
  public Next notRun(boolean otherEndpointMayAccept, long nowNanos) {
    pending = false;
    lastRefused = true;
    return otherEndpointMayAccept && mayRetry(nowNanos) ? Next.RETRY_ELSEWHERE : Next.REFUSE;
  }

  /**
   * Records that the last attempt was written and its connection was lost, or that its answer was
   * cut off before any byte was sent to the caller.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @return the next step
   */
  public Next outcomeUnknown(long nowNanos) {
    pending = false;
    if (idempotent) {
      mayHaveRun = true;
      return mayRetry(nowNanos) ? Next.RETRY_ELSEWHERE : Next.REFUSE;
    }
    pending = true;
    return nowNanos < deadlineNanos ? Next.ASK_ENDPOINT : Next.REFUSE;
  }

  /**
   * Records that the endpoint did not reply to the request for a report, or no longer has a record
   * of the attempt.
   *
   * @return always {@link Next#REFUSE}
   */
  public Next noReport() {
    pending = false;
    mayHaveRun = true;
    return Next.REFUSE;
  }

  /**
   * Records that the endpoint refused the request, which may have run there.
   *
   * @param otherEndpointMayAccept true if another endpoint may accept the request
   * @param nowNanos monotonic time in nanoseconds
   * @return the next step
   */
  public Next refusedOutcomeUnknown(boolean otherEndpointMayAccept, long nowNanos) {
    pending = false;
    lastRefused = true;
    mayHaveRun = true;
    return idempotent && otherEndpointMayAccept && mayRetry(nowNanos)
        ? Next.RETRY_ELSEWHERE
        : Next.REFUSE;
  }

  /**
   * Returns the current knowledge about whether this request was run.
   *
   * @return {@code UNKNOWN} if any attempt may have run or may still run, else {@code NOT_RUN}
   */
  public RunState runState() {
    return mayHaveRun || pending ? RunState.UNKNOWN : RunState.NOT_RUN;
  }

  private boolean mayRetry(long nowNanos) {
    return attempts < MAX_ATTEMPTS && nowNanos < deadlineNanos && budget.withdraw(nowNanos);
  }
}
