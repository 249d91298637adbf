package org.clementineford.requests.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.clementineford.requests.RefusalKind;
import org.clementineford.requests.RunState;
import org.clementineford.requests.admission.Admission.Verdict;
import org.clementineford.requests.admission.AttemptReport.Phase;
import org.clementineford.testing.PausedTime;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RunRegistryTest {
  private static final long INCARNATION = 7;
  private static final RunRegistryLimits SMALL =
      new RunRegistryLimits(10_000, 60_000, 15_000, 2, 10, 1);

  private final PausedTime time = new PausedTime(0);
  private final RunRegistry<String, String> registry = new RunRegistry<>(SMALL, INCARNATION);

  private Attempt attempt(String id, String key) {
    long tick = TimeUnit.NANOSECONDS.toMillis(time.nanoTime());
    return new Attempt(id, "shop", key, false, INCARNATION, tick);
  }

  private Admission<String, String> admit(Attempt attempt) {
    return registry.admit(attempt, "run " + attempt.attemptId(), time.nanoTime());
  }

  private Phase reportOrRevoke(Attempt attempt) {
    return registry.reportOrRevoke(attempt, time.nanoTime()).phase();
  }

  private void runWhole(Attempt attempt, String answer) {
    assertThat(admit(attempt).verdict()).isEqualTo(Verdict.START);
    registry.endAnswered(attempt, answer, answer.length(), time.nanoTime());
  }

  @Nested
  class Refuses {
    // Guards against work that was meant for an earlier life of the endpoint.
    @Test
    void dispatchesForOtherIncarnations() {
      Attempt other = new Attempt("1", "shop", null, false, INCARNATION - 1, 0);
      assertThat(admit(other).refusal()).isEqualTo(RefusalKind.OTHER_INCARNATION);
    }

    // Guards against a copy that a silent connection held until its revocation was forgotten.
    @Test
    void dispatchesOlderThanTenSeconds() {
      final Attempt onTime = attempt("1", null);
      final Attempt late = attempt("2", null);
      time.advance(10_000, TimeUnit.MILLISECONDS);
      assertThat(admit(onTime).verdict()).isEqualTo(Verdict.START);
      time.advance(1, TimeUnit.MILLISECONDS);
      assertThat(admit(late).refusal()).isEqualTo(RefusalKind.STALE_DISPATCH);
    }

    // Guards against a revocation that is evicted because the memory is full.
    @Test
    void revokedAttemptsAndKeysForSixtySecondsAlsoWhenFull() {
      reportOrRevoke(attempt("1", "key"));
      reportOrRevoke(attempt("2", null));
      assertThat(admit(attempt("3", null)).refusal()).isEqualTo(RefusalKind.REGISTRY_FULL);
      assertThat(reportOrRevoke(attempt("4", null))).isEqualTo(Phase.FORGOTTEN);
      time.advance(60, TimeUnit.SECONDS);
      assertThat(admit(attempt("1", "key")).refusal()).isEqualTo(RefusalKind.REVOKED);
      time.advance(1, TimeUnit.MILLISECONDS);
      assertThat(admit(attempt("5", "key")).verdict()).isEqualTo(Verdict.START);
    }

    // Guards against a key that runs twice under two attempts.
    @Test
    void otherAttemptsWithTheSameKey() {
      admit(attempt("1", "key"));
      assertThat(admit(attempt("2", "key")).refusal()).isEqualTo(RefusalKind.KEY_SEEN);
      registry.endNotRun(attempt("1", "key"), time.nanoTime());
      assertThat(admit(attempt("2", "key")).refusal()).isEqualTo(RefusalKind.REVOKED);
    }

    // Guards against a revoked key that a new attempt uses again.
    @Test
    void otherAttemptsWithRevokedKeys() {
      reportOrRevoke(attempt("1", "key"));
      assertThat(admit(attempt("2", "key")).refusal()).isEqualTo(RefusalKind.KEY_REVOKED);
    }

    // Guards against a refusal "not run" that is followed by a run of a second copy.
    @Test
    void attemptsThatWereRefusedAsNotRunBefore() {
      admit(attempt("1", null));
      registry.endNotRun(attempt("1", null), time.nanoTime());
      Admission<String, String> copy = admit(attempt("1", null));
      assertThat(copy.refusal()).isEqualTo(RefusalKind.REVOKED);
      assertThat(copy.runState()).isEqualTo(RunState.NOT_RUN);
    }

    // Guards against new work on a leaving endpoint, and against cutting off what runs there.
    @Test
    void newAttemptsOnlyWhileLeaving() {
      admit(attempt("1", null));
      registry.setLeaving(true);
      assertThat(admit(attempt("1", null)).verdict()).isEqualTo(Verdict.ATTACH);
      assertThat(admit(attempt("2", null)).refusal()).isEqualTo(RefusalKind.LEAVING);
    }
  }

  @Nested
  class Remembers {
    // Guards against a second run, and against losing the answer of the first.
    @Test
    void runningAndFinishedAttempts() {
      Attempt attempt = attempt("1", "key");
      assertThat(admit(attempt).verdict()).isEqualTo(Verdict.START);
      assertThat(admit(attempt).run()).isEqualTo("run 1");
      assertThat(reportOrRevoke(attempt)).isEqualTo(Phase.RUNNING);
      registry.endAnswered(attempt, "answer", 6, time.nanoTime());
      assertThat(admit(attempt).answer()).isEqualTo("answer");
      assertThat(reportOrRevoke(attempt)).isEqualTo(Phase.FINISHED);
    }

    // Guards against stored answers that fill the memory.
    @Test
    void theLatestAnswersOnly() {
      runWhole(attempt("1", null), "123456");
      runWhole(attempt("2", null), "123456");
      assertThat(admit(attempt("2", null)).verdict()).isEqualTo(Verdict.REPLAY);
      assertThat(admit(attempt("1", null)).refusal()).isEqualTo(RefusalKind.ANSWER_NOT_KEPT);
    }

    // Guards against confirming the revocation of an attempt that ran and was evicted.
    @Test
    void thatEvictedAttemptsMayHaveRun() {
      for (int i = 1; i <= 3; i++) {
        runWhole(attempt(String.valueOf(i), null), "");
        time.advance(61, TimeUnit.SECONDS);
      }
      assertThat(registry.size()).isEqualTo(2);
      assertThat(reportOrRevoke(attempt("1", null))).isEqualTo(Phase.FORGOTTEN);
      assertThat(reportOrRevoke(attempt("4", null))).isEqualTo(Phase.REVOKED);
    }
  }
}
