package org.clementineford.requests.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.clementineford.requests.RefusalKind;
import org.clementineford.requests.RunState;

/**
 * Attempts that one incarnation of an endpoint has seen. Runs each attempt at most once.
 *
 * <p>State is in shards by attempt and, for idempotency keys, in shards by key. Each shard has its
 * own lock; the lock of a key shard is only taken inside that of an attempt shard.
 *
 * <p>Dispatches older than {@link RunRegistryLimits#longestDispatchAgeMs} are refused. Revocations
 * are kept for longer than that, so a late copy of a revoked dispatch never runs.
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
   * @param limits times and sizes
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
   * Sets whether new attempts are refused because the endpoint is leaving.
   *
   * @param leaving true from the moment that no new work may start
   */
  public void setLeaving(boolean leaving) {
    this.leaving = leaving;
  }

  /**
   * Decides about a dispatch and registers its attempt if it is new.
   *
   * @param attempt the attempt
   * @param run run to register for a new attempt
   * @param nowNanos monotonic clock
   * @return the decision
   */
  public Admission<R, A> admit(Attempt attempt, R run, long nowNanos) {
    if (attempt.targetIncarnation() != incarnation) {
      return Admission.refuse(RefusalKind.OTHER_INCARNATION);
    }
    return shard(attempt.attemptId())
        .admit(attempt, run, refusalOfNew(attempt, nowNanos), nowNanos);
  }

  private RefusalKind refusalOfNew(Attempt attempt, long nowNanos) {
    long age = TimeUnit.NANOSECONDS.toMillis(nowNanos) - attempt.admissionTick();
    if (age > limits.longestDispatchAgeMs() || age < 0) {
      return RefusalKind.STALE_DISPATCH;
    }
    return leaving ? RefusalKind.LEAVING : null;
  }

  /**
   * Records that a registered attempt did not run. It never will; its key is free again.
   *
   * @param attempt an attempt that was admitted with {@link Admission.Verdict#START}
   * @param nowNanos monotonic clock
   */
  public void endNotRun(Attempt attempt, long nowNanos) {
    shard(attempt.attemptId()).endNotRun(attempt, nowNanos);
  }

  /**
   * Records the answer of a registered attempt. Answers of idempotent attempts are not stored.
   *
   * @param attempt an attempt that was admitted with {@link Admission.Verdict#START}
   * @param answer the answer
   * @param bytes length of the answer in bytes
   * @param nowNanos monotonic clock
   */
  public void endAnswered(Attempt attempt, A answer, long bytes, long nowNanos) {
    shard(attempt.attemptId()).endRan(attempt, answer, bytes, RunState.RAN, nowNanos);
  }

  /**
   * Records that a registered attempt ended without a whole answer.
   *
   * @param attempt an attempt that was admitted with {@link Admission.Verdict#START}
   * @param runState {@code UNKNOWN} or {@code RAN}
   * @param nowNanos monotonic clock
   */
  public void endWithoutAnswer(Attempt attempt, RunState runState, long nowNanos) {
    shard(attempt.attemptId()).endRan(attempt, null, 0, runState, nowNanos);
  }

  /**
   * Reports what became of a non-idempotent attempt, or revokes it if it was never seen.
   *
   * @param attempt the attempt; its admission tick is ignored
   * @param nowNanos monotonic clock
   * @return the report; a revocation holds for {@link RunRegistryLimits#revocationMs} at least
   */
  public AttemptReport<R, A> reportOrRevoke(Attempt attempt, long nowNanos) {
    if (attempt.targetIncarnation() != incarnation) {
      return new AttemptReport<>(AttemptReport.Phase.FORGOTTEN, null, null);
    }
    return shard(attempt.attemptId()).reportOrRevoke(attempt, nowNanos);
  }

  /**
   * Returns how many attempts are remembered.
   *
   * @return number of attempts in all shards
   */
  public int size() {
    return shards.stream().mapToInt(RegistryShard::size).sum();
  }
}
