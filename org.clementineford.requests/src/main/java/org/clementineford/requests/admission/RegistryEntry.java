package org.clementineford.requests.admission;

import org.clementineford.requests.RunState;

/** Recorded state of one attempt; guarded by the lock of its shard. */
final class RegistryEntry<R, A> {
  final String attemptId;
  final Attempt.ScopedKey key;
  R run;
  RunState ended;
  A answer;
  long answerBytes;
  long endedNanos;

  RegistryEntry(Attempt attempt, R run) {
    this.attemptId = attempt.attemptId();
    this.key = attempt.scopedKey();
    this.run = run;
  }

  boolean isRunning() {
    return ended == null;
  }

  void end(RunState state, long nowNanos) {
    run = null;
    ended = state;
    endedNanos = nowNanos;
  }

  void dropAnswer() {
    answer = null;
    answerBytes = 0;
  }
}
