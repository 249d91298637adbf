package org.clementineford.requests.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.clementineford.requests.RefusalKind;
import org.clementineford.requests.RunState;

/**
 * Registry of the attempts that one incarnation of an endpoint has seen. Ensures that each attempt
 * runs at most once.
 *
 * <p>Attempts are sharded by attempt identity, idempotency keys by key. Each shard has its own
 * lock; the lock of a key shard is only acquired while the lock of an attempt shard is held.
 *
 * <p>Dispatches older than {@link RunRegistryLimits#maxDispatchAgeMs} are refused. Revocations are
 * kept for longer than that, so a delayed copy of a revoked dispatch never runs.
 *
 * @param <R> type of runs in progress
 * @param <A> type of stored answers
 */
public final class RunRegistry<R, A> {
  private final RunRegistryLimits limits;
  private final long incarnation;
  private final List<RegistryShard<R, A>> shards = new ArrayList<>();
  private volatile boolean leaving;

  /**
   * Creates an empty registry.
   *
   * @param limits limits of the registry
   * @param incarnation incarnation of this endpoint
   */
  public RunRegistry(RunRegistryLimits limits, long incarnation) {
    this.limits = limits;
    this.incarnation = incarnation;
    KeyIndex keys = new KeyIndex(limits.shards());
    for (int i = 0; i < limits.shards(); i++) {
      shards.add(new RegistryShard<>(limits, keys));
    }
  }

  private RegistryShard<R, A> shard(String attemptId) {
    return shards.get(Math.floorMod(attemptId.hashCode(), shards.size()));
  }

  /**
   * Sets whether the endpoint is leaving, in which case new attempts are refused.
   *
   * @param leaving true if no new work may start
   */
  public void setLeaving(boolean leaving) {
    this.leaving = leaving;
  }

  /**
   * Decides on a dispatch and registers its attempt if it is new.
   *
   * @param attempt the attempt
   * @param run run to register for a new attempt
   * @param nowNanos monotonic time in nanoseconds
   * @return the decision
   */
  public AdmissionDecision<R, A> admit(Attempt attempt, R run, long nowNanos) {
    if (attempt.targetIncarnation() != incarnation) {
      return AdmissionDecision.refuse(RefusalKind.OTHER_INCARNATION);
    }
    return shard(attempt.attemptId())
        .admit(attempt, run, refusalIfNew(attempt, nowNanos), nowNanos);
  }

  private RefusalKind refusalIfNew(Attempt attempt, long nowNanos) {
    long age = TimeUnit.NANOSECONDS.toMillis(nowNanos) - attempt.admissionTick();
    if (age > limits.maxDispatchAgeMs() || age < 0) {
      return RefusalKind.STALE_DISPATCH;
    }
    return leaving ? RefusalKind.LEAVING : null;
  }

  /**
   * Records that a registered attempt was not run and will not be run, and releases its key.
   *
   * @param attempt an attempt that was admitted with {@link AdmissionDecision.Verdict#START}
   * @param nowNanos monotonic time in nanoseconds
   */
  public void endNotRun(Attempt attempt, long nowNanos) {
    shard(attempt.attemptId()).endNotRun(attempt, nowNanos);
  }

  /**
   * Records the answer of a registered attempt. Answers of idempotent attempts are not stored.
   *
   * @param attempt an attempt that was admitted with {@link AdmissionDecision.Verdict#START}
   * @param answer the answer
   * @param bytes length of the answer in bytes
   * @param nowNanos monotonic time in nanoseconds
   */
  public void endAnswered(Attempt attempt, A answer, long bytes, long nowNanos) {
    shard(attempt.attemptId()).endStarted(attempt, answer, bytes, RunState.RAN, nowNanos);
  }

  /**
   * Records that a registered attempt ended without a complete answer.
   *
   * @param attempt an attempt that was admitted with {@link AdmissionDecision.Verdict#START}
   * @param runState {@code UNKNOWN} or {@code RAN}
   * @param nowNanos monotonic time in nanoseconds
   */
  public void endWithoutAnswer(Attempt attempt, RunState runState, long nowNanos) {
    shard(attempt.attemptId()).endStarted(attempt, null, 0, runState, nowNanos);
  }

  /**
   * Reports the state of a non-idempotent attempt, or revokes it if it was never seen.
   *
   * @param attempt the attempt; its admission tick is ignored
   * @param nowNanos monotonic time in nanoseconds
   * @return the report; a revocation is kept for at least {@link
   *     RunRegistryLimits#revocationRetentionMs}
   */
  public AttemptReport<R, A> reportOrRevoke(Attempt attempt, long nowNanos) {
    if (attempt.targetIncarnation() != incarnation) {
      return new AttemptReport<>(AttemptReport.Phase.FORGOTTEN, null, null);
    }
    return shard(attempt.attemptId()).reportOrRevoke(attempt, nowNanos);
  }

  /**
   * Returns the number of registered attempts.
   *
   * @return number of attempts in all shards, including ended and revoked ones
   */
  public int size() {
    return shards.stream().mapToInt(RegistryShard::size).sum();
  }
}
