package org.clementineford.requests.claims;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.requests.RunState;

/** Interleaves submissions of one key with a platform and an endpoint, with random faults. */
class ClaimDecisionTest {
  private static final int SUBMISSIONS = 4;
  private static final int STEPS = 60;

  // Guards against two runs of a key, and against "not run" for a key that ran, in any order of the
  // steps of the submissions, lost replies and outages. jqwik stores the seed of a failed run.
  @Property(tries = 3000)
  void keyRunsAtMostOnce(@ForAll long seed) {
    new Interleaving(seed).run();
  }

  private static final class Interleaving {
    private final SplittableRandom random;
    private final List<Submission> submissions = new ArrayList<>();
    private final Set<String> ran = new HashSet<>();
    private final Set<String> revoked = new HashSet<>();
    private final Map<String, Boolean> finished = new HashMap<>();
    private Claim stored;
    private long version;

    Interleaving(long seed) {
      random = new SplittableRandom(seed);
      for (int i = 0; i < SUBMISSIONS; i++) {
        submissions.add(new Submission(i));
      }
    }

    void run() {
      for (int step = 0; step < STEPS; step++) {
        Submission next = submissions.get(random.nextInt(SUBMISSIONS));
        if (next.action != null) {
          next.step();
        }
      }
      assertThat(ran).hasSizeLessThanOrEqualTo(1);
      for (Submission submission : submissions) {
        if (submission.refusedNotRun && !submission.askedEndpoint) {
          assertThat(ran).noneMatch(attempt -> attempt.startsWith(submission.number + "."));
        }
      }
    }

    private final class Submission {
      private final int number;
      private final ClaimDecision decision = new ClaimDecision("digest");
      private ClaimAction action = decision.start();
      private int attempts;
      private boolean refusedNotRun;
      private boolean askedEndpoint;

      Submission(int number) {
        this.number = number;
      }

      void step() {
        if (action instanceof ClaimAction.Prepare) {
          String attempt = number + "." + attempts++;
          action =
              decision.prepared(
                  new Claim(attempt, "vm", 1, new HostPort("10.0.0.1", 1), "digest", false, null));
        } else if (action instanceof ClaimAction.Create create) {
          write(stored == null, create.claim());
        } else if (action instanceof ClaimAction.Move move) {
          write(stored != null && version == move.version(), move.claim());
        } else if (action instanceof ClaimAction.Read) {
          action =
              random.nextInt(8) == 0
                  ? decision.readFailed()
                  : decision.read(Optional.ofNullable(stored), version);
        } else if (action instanceof ClaimAction.AskEndpoint ask) {
          askedEndpoint = true;
          ask(ask.claim().attemptId());
        } else if (action instanceof ClaimAction.Dispatch dispatch) {
          dispatch(dispatch.claim().attemptId());
        } else if (action instanceof ClaimAction.Refuse refuse) {
          refusedNotRun = refuse.run() == RunState.NOT_RUN;
          action = null;
        } else {
          action = null;
        }
      }

      private void write(boolean conditionHolds, Claim claim) {
        int fault = random.nextInt(8);
        if (fault == 0) {
          action = decision.writeFailed(ErrorKind.UNAVAILABLE);
          return;
        }
        if (conditionHolds) {
          stored = claim;
          version++;
        }
        if (fault == 1) {
          action = decision.writeFailed(ErrorKind.OUTCOME_UNKNOWN);
        } else {
          action =
              conditionHolds ? decision.written(version) : decision.writeFailed(ErrorKind.CONFLICT);
        }
      }

      private void ask(String attempt) {
        if (ran.contains(attempt)) {
          boolean done = finished.computeIfAbsent(attempt, key -> random.nextBoolean());
          finished.put(attempt, true);
          action = decision.reported(done ? AttemptStatus.FINISHED : AttemptStatus.RUNNING, null);
        } else {
          revoked.add(attempt);
          action = decision.reported(AttemptStatus.REVOKED, null);
        }
      }

      private void dispatch(String attempt) {
        if (revoked.contains(attempt)) {
          action = decision.notRun();
        } else {
          ran.add(attempt);
          action = null;
        }
      }
    }
  }
}
