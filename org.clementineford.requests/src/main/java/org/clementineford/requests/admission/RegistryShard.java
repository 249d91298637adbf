package org.clementineford.requests.admission;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.clementineford.requests.RefusalKind;
import org.clementineford.requests.RunState;

/** Attempts whose identities hash to the same shard number. */
final class RegistryShard<R, A> {
  private final RunRegistryLimits limits;
  private final KeyIndex keys;
  private final int capacity;
  private final long answerCapacity;
  private final Map<String, RegistryEntry<R, A>> entries = new HashMap<>();
  private final ArrayDeque<RegistryEntry<R, A>> notRun = new ArrayDeque<>();
  private final ArrayDeque<RegistryEntry<R, A>> idempotentEnded = new ArrayDeque<>();
  private final ArrayDeque<RegistryEntry<R, A>> ended = new ArrayDeque<>();
  private final ArrayDeque<RegistryEntry<R, A>> answered = new ArrayDeque<>();
  private final EvictedAttempts evicted;
  private long answerBytes;

  RegistryShard(RunRegistryLimits limits, KeyIndex keys) {
    this.limits = limits;
    this.keys = keys;
    this.capacity = Math.max(1, limits.maxAttempts() / limits.shards());
    this.answerCapacity = limits.maxAnswerBytes() / limits.shards();
    this.evicted = new EvictedAttempts(capacity);
  }

  synchronized int size() {
    return entries.size();
  }

  synchronized AdmissionDecision<R, A> admit(
      Attempt attempt, R run, RefusalKind refusalIfNew, long nowNanos) {
    dropExpired(nowNanos);
    RegistryEntry<R, A> existing = entries.get(attempt.attemptId());
    if (existing != null) {
      return admitExisting(existing);
    }
    if (refusalIfNew != null) {
      // Evicted attempts ended before any dispatch that is not stale was sent, so only a stale
      // dispatch can belong to one of them.
      boolean mayHaveRun =
          refusalIfNew == RefusalKind.STALE_DISPATCH
              && evicted.mayContain(attempt.attemptId(), nowNanos);
      return AdmissionDecision.refuse(mayHaveRun ? RefusalKind.OUTCOME_UNKNOWN : refusalIfNew);
    }
    if (!ensureCapacity(nowNanos)) {
      return AdmissionDecision.refuse(RefusalKind.REGISTRY_FULL);
    }
    RegistryEntry<R, A> entry = new RegistryEntry<>(attempt, run);
    KeyIndex.Holder holder = claimKey(entry, false);
    entries.put(entry.attemptId, entry);
    if (holder != null) {
      end(entry, RunState.NOT_RUN, nowNanos);
      return AdmissionDecision.refuse(
          holder.revoked() ? RefusalKind.KEY_REVOKED : RefusalKind.KEY_SEEN);
    }
    return AdmissionDecision.start();
  }

  private AdmissionDecision<R, A> admitExisting(RegistryEntry<R, A> existing) {
    if (existing.isRunning()) {
      return AdmissionDecision.attach(existing.run);
    }
    if (existing.answer != null) {
      return AdmissionDecision.replay(existing.answer);
    }
    return switch (existing.ended) {
      case NOT_RUN -> AdmissionDecision.refuse(RefusalKind.REVOKED);
      case RAN -> AdmissionDecision.refuse(RefusalKind.ANSWER_NOT_KEPT);
      case UNKNOWN -> AdmissionDecision.refuse(RefusalKind.OUTCOME_UNKNOWN);
    };
  }

  private KeyIndex.Holder claimKey(RegistryEntry<R, A> entry, boolean revoked) {
    return entry.key == null
        ? null
        : keys.claim(entry.key, new KeyIndex.Holder(entry.attemptId, revoked));
  }

  synchronized void endNotRun(Attempt attempt, long nowNanos) {
    RegistryEntry<R, A> entry = entries.get(attempt.attemptId());
    if (entry != null && entry.isRunning()) {
      end(entry, RunState.NOT_RUN, nowNanos);
      releaseKey(entry);
    }
  }

  private void end(RegistryEntry<R, A> entry, RunState state, long nowNanos) {
    entry.end(state, nowNanos);
    if (state == RunState.NOT_RUN) {
      notRun.addLast(entry);
    }
  }

  synchronized void endStarted(
      Attempt attempt, A answer, long bytes, RunState state, long nowNanos) {
    RegistryEntry<R, A> entry = entries.get(attempt.attemptId());
    if (entry == null || !entry.isRunning()) {
      return;
    }
    end(entry, state, nowNanos);
    if (attempt.idempotent()) {
      idempotentEnded.addLast(entry);
      return;
    }
    ended.addLast(entry);
    if (answer != null && bytes <= answerCapacity) {
      store(entry, answer, bytes);
    }
  }

  private void store(RegistryEntry<R, A> entry, A answer, long bytes) {
    entry.answer = answer;
    entry.answerBytes = bytes;
    answerBytes += bytes;
    answered.addLast(entry);
    while (answerBytes > answerCapacity) {
      RegistryEntry<R, A> oldest = answered.removeFirst();
      answerBytes -= oldest.answerBytes;
      oldest.dropAnswer();
    }
  }

  synchronized AttemptReport<R, A> reportOrRevoke(Attempt attempt, long nowNanos) {
    dropExpired(nowNanos);
    RegistryEntry<R, A> existing = entries.get(attempt.attemptId());
    if (existing != null) {
      return report(existing, nowNanos);
    }
    if (evicted.mayContain(attempt.attemptId(), nowNanos) || !ensureCapacity(nowNanos)) {
      return new AttemptReport<>(AttemptReport.Phase.FORGOTTEN, null, null);
    }
    RegistryEntry<R, A> entry = new RegistryEntry<>(attempt, null);
    entries.put(entry.attemptId, entry);
    end(entry, RunState.NOT_RUN, nowNanos);
    claimKey(entry, true);
    return new AttemptReport<>(AttemptReport.Phase.REVOKED, null, null);
  }

  private AttemptReport<R, A> report(RegistryEntry<R, A> existing, long nowNanos) {
    if (existing.isRunning()) {
      return new AttemptReport<>(AttemptReport.Phase.RUNNING, existing.run, null);
    }
    if (existing.answer != null) {
      return new AttemptReport<>(AttemptReport.Phase.FINISHED, null, existing.answer);
    }
    if (existing.ended == RunState.NOT_RUN) {
      // Extend the revocation, because the process that asked relies on it from now on.
      notRun.remove(existing);
      existing.endedNanos = nowNanos;
      notRun.addLast(existing);
      return new AttemptReport<>(AttemptReport.Phase.REVOKED, null, null);
    }
    return new AttemptReport<>(AttemptReport.Phase.FORGOTTEN, null, null);
  }

  private void releaseKey(RegistryEntry<R, A> entry) {
    if (entry.key != null) {
      keys.release(entry.key, entry.attemptId);
    }
  }

  private void dropExpired(long nowNanos) {
    drop(notRun, nowNanos - limits.toNanos(limits.revocationRetentionMs()));
    drop(idempotentEnded, nowNanos - limits.toNanos(limits.idempotentRetentionMs()));
  }

  private void drop(ArrayDeque<RegistryEntry<R, A>> queue, long endedBefore) {
    while (!queue.isEmpty() && queue.peekFirst().endedNanos - endedBefore < 0) {
      remove(queue.removeFirst());
    }
  }

  private void remove(RegistryEntry<R, A> entry) {
    entries.remove(entry.attemptId);
    releaseKey(entry);
  }

  /**
   * Evicts the oldest ended attempt if the shard is full. Revocations in force are kept. Returns
   * false if the shard stays full.
   */
  private boolean ensureCapacity(long nowNanos) {
    if (entries.size() < capacity) {
      return true;
    }
    RegistryEntry<R, A> oldest = ended.peekFirst();
    if (oldest == null
        || nowNanos - oldest.endedNanos < limits.toNanos(limits.revocationRetentionMs())) {
      return false;
    }
    ended.removeFirst();
    if (oldest.answer != null) {
      answered.remove(oldest);
      answerBytes -= oldest.answerBytes;
    }
    evicted.add(oldest.attemptId, nowNanos);
    remove(oldest);
    return true;
  }
}
