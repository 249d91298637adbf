package org.clementineford.requests.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.clementineford.requests.RefusalKind;
import org.clementineford.requests.RunState;
import org.clementineford.requests.admission.AdmissionDecision.Verdict;
import org.clementineford.requests.admission.AttemptReport.Phase;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RunRegistryTest {
  private static final long INCARNATION = 7;
  private static final RunRegistryLimits SMALL =
      new RunRegistryLimits(10_000, 60_000, 15_000, 2, 10, 1);

  private final VirtualTime time = new VirtualTime(0);
  private final RunRegistry<String, String> registry = new RunRegistry<>(SMALL, INCARNATION);

  private Attempt attempt(String id, String key) {
    long tick = TimeUnit.NANOSECONDS.toMillis(time.nanoTime());
    return new Attempt(id, "shop", key, false, INCARNATION, tick);
  }

  private AdmissionDecision<String, String> admit(Attempt attempt) {
    return registry.admit(attempt, "run " + attempt.attemptId(), time.nanoTime());
  }

  private Phase reportOrRevoke(Attempt attempt) {
    return registry.reportOrRevoke(attempt, time.nanoTime()).phase();
  }

  private void runToCompletion(Attempt attempt, String answer) {
    assertThat(admit(attempt).verdict()).isEqualTo(Verdict.START);
    registry.endAnswered(attempt, answer, answer.length(), time.nanoTime());
  }

  @Nested
  class Refuses {
    // Guards against running a dispatch that was addressed to an earlier incarnation.
    @Test
    void dispatchesForOtherIncarnations() {
      Attempt other = new Attempt("1", "shop", null, false, INCARNATION - 1, 0);
      assertThat(admit(other).refusal()).isEqualTo(RefusalKind.OTHER_INCARNATION);
    }

    // Guards against a copy that was delayed on a stalled connection until after its revocation had
    // been dropped.
    @Test
    void dispatchesOlderThanTenSeconds() {
      final Attempt onTime = attempt("1", null);
      final Attempt late = attempt("2", null);
      time.advance(10_000, TimeUnit.MILLISECONDS);
      assertThat(admit(onTime).verdict()).isEqualTo(Verdict.START);
      time.advance(1, TimeUnit.MILLISECONDS);
      assertThat(admit(late).refusal()).isEqualTo(RefusalKind.STALE_DISPATCH);
    }

    // Guards against a revocation that is evicted because the registry is full.
    @Test
    void revokedAttemptsAndKeysForSixtySecondsEvenWhenFull() {
      reportOrRevoke(attempt("1", "key"));
      reportOrRevoke(attempt("2", null));
      assertThat(admit(attempt("3", null)).refusal()).isEqualTo(RefusalKind.REGISTRY_FULL);
      assertThat(reportOrRevoke(attempt("4", null))).isEqualTo(Phase.FORGOTTEN);
      time.advance(60, TimeUnit.SECONDS);
      assertThat(admit(attempt("1", "key")).refusal()).isEqualTo(RefusalKind.REVOKED);
      time.advance(1, TimeUnit.MILLISECONDS);
      assertThat(admit(attempt("5", "key")).verdict()).isEqualTo(Verdict.START);
    }

    // Guards against two runs of a key in two attempts.
    @Test
    void otherAttemptsWithTheSameKey() {
      admit(attempt("1", "key"));
      assertThat(admit(attempt("2", "key")).refusal()).isEqualTo(RefusalKind.KEY_SEEN);
      registry.endNotRun(attempt("1", "key"), time.nanoTime());
      assertThat(admit(attempt("2", "key")).refusal()).isEqualTo(RefusalKind.REVOKED);
    }

    // Guards against a new attempt that uses a revoked key.
    @Test
    void otherAttemptsWithRevokedKeys() {
      reportOrRevoke(attempt("1", "key"));
      assertThat(admit(attempt("2", "key")).refusal()).isEqualTo(RefusalKind.KEY_REVOKED);
    }

    // Guards against running a second copy of an attempt that was refused as not run.
    @Test
    void attemptsThatEndedAsNotRun() {
      admit(attempt("1", null));
      registry.endNotRun(attempt("1", null), time.nanoTime());
      AdmissionDecision<String, String> copy = admit(attempt("1", null));
      assertThat(copy.refusal()).isEqualTo(RefusalKind.REVOKED);
      assertThat(copy.runState()).isEqualTo(RunState.NOT_RUN);
    }

    // Guards against new work on a leaving endpoint, and against interrupting its running requests.
    @Test
    void newAttemptsButNotRunningOnesWhileLeaving() {
      admit(attempt("1", null));
      registry.setLeaving(true);
      assertThat(admit(attempt("1", null)).verdict()).isEqualTo(Verdict.ATTACH);
      assertThat(admit(attempt("2", null)).refusal()).isEqualTo(RefusalKind.LEAVING);
    }
  }

  @Nested
  class Retains {
    // Guards against a second run, and against loss of the answer of the first run.
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

    // Guards against stored answers that exceed the limit of their total length.
    @Test
    void onlyTheLatestAnswers() {
      runToCompletion(attempt("1", null), "123456");
      runToCompletion(attempt("2", null), "123456");
      assertThat(admit(attempt("2", null)).verdict()).isEqualTo(Verdict.REPLAY);
      assertThat(admit(attempt("1", null)).refusal()).isEqualTo(RefusalKind.ANSWER_NOT_KEPT);
    }

    // Guards against reporting an attempt as revoked that ran and was evicted.
    @Test
    void evictedAttemptsAsForgotten() {
      for (int i = 1; i <= 3; i++) {
        runToCompletion(attempt(String.valueOf(i), null), "");
        time.advance(61, TimeUnit.SECONDS);
      }
      assertThat(registry.size()).isEqualTo(2);
      assertThat(reportOrRevoke(attempt("1", null))).isEqualTo(Phase.FORGOTTEN);
      assertThat(reportOrRevoke(attempt("4", null))).isEqualTo(Phase.REVOKED);
    }
  }
}
