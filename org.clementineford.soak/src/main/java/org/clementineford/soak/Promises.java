package org.clementineford.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.clementineford.platform.standin.PlatformFiles;
import org.clementineford.platform.standin.RunRecorder;

/** What must hold at any time, judged by what callers and back ends saw. */
final class Promises {
  /** Statuses that promise that a request has not run and never will. */
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

  /** Statuses that deny a request for good. */
  private static final Set<Integer> DENIED = Set.of(400, 401, 403, 404);

  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;

  /** Share of callers that must be served once faults are over. */
  private static final double RECOVERED_SHARE = 0.95;

  private final SoakFleet fleet;
  private final Callers callers;

  Promises(SoakFleet fleet, Callers callers) {
    this.fleet = fleet;
    this.callers = callers;
  }

  /**
   * Checks all requests so far.
   *
   * @param removedKey key that was removed
   * @param removedAt when its removal was acknowledged; 0 if it was not removed yet
   * @return one sentence for each broken promise
   */
  List<String> check(String removedKey, long removedAt) {
    List<String> broken = new ArrayList<>(fleet.ledger().faults());
    // Callers come first: a run of a request that ended is then in the ledger.
    List<CallerRecord> records = callers.records();
    Map<String, List<RunRecorder.Run>> runs = fleet.ledger().runs();
    for (CallerRecord record : records) {
      for (RunRecorder.Run run : runs.getOrDefault(record.id(), List.of())) {
        if (!run.account().equals(SoakFleet.account(record.key()))
            || !run.target().equals(record.kind().method() + " " + record.target())) {
          broken.add(record.id() + " ran as " + run);
        }
      }
      checkAnswer(record, runs.getOrDefault(record.id(), List.of()), removedKey, broken);
    }
    runs.forEach(
        (id, list) -> {
          if (!callers.hasSent(id)) {
            broken.add(id + " ran, and no caller sent it");
          }
          for (RunRecorder.Run run : list) {
            checkRun(id, run, broken);
          }
        });
    checkKeys(records, runs, removedKey, removedAt, broken);
    checkRepeats(runs, broken);
    checkPrograms(broken);
    return broken;
  }

  private static void checkAnswer(
      CallerRecord record, List<RunRecorder.Run> runs, String removedKey, List<String> broken) {
    String proof = PlatformFiles.signature(record.headers());
    if (record.isServed()) {
      if (!proof.endsWith("." + record.id())) {
        broken.add(record.id() + " was answered with the proof \"" + proof + "\"");
      }
      if (!record.body().equals(record.kind().wholeBody(record.id()))) {
        broken.add(record.id() + " was answered with the body \"" + record.body() + "\"");
      }
      if (runs.isEmpty()) {
        broken.add(record.id() + " was answered and did not run");
      }
    }
    if (!record.kind().isRepeatable()) {
      if (runs.size() > 1) {
        broken.add(record.id() + " must run once and ran " + runs.size() + " times");
      }
      if (NOT_RUN.contains(record.status()) && !runs.isEmpty()) {
        broken.add(record.id() + " ran and was answered with " + record.status());
      }
    }
    boolean allowed = !record.key().equals(removedKey);
    if (DENIED.contains(record.status()) && (allowed || record.status() == NOT_FOUND)) {
      broken.add(record.id() + " was denied with " + record.status());
    }
  }

  private static void checkRun(String id, RunRecorder.Run run, List<String> broken) {
    if (!run.key().isEmpty()) {
      broken.add(id + " reached " + run.server() + " with its caller's key");
    }
  }

  private static void checkKeys(
      List<CallerRecord> records,
      Map<String, List<RunRecorder.Run>> runs,
      String removedKey,
      long removedAt,
      List<String> broken) {
    if (removedAt == 0) {
      return;
    }
    long bound = removedAt + TimeUnit.MILLISECONDS.toNanos(SoakFleet.KEY_MS);
    for (CallerRecord record : records) {
      if (!record.key().equals(removedKey) || record.startedAt() - bound <= 0) {
        continue;
      }
      for (RunRecorder.Run run : runs.getOrDefault(record.id(), List.of())) {
        long lateMs = TimeUnit.NANOSECONDS.toMillis(run.atNanos() - bound);
        broken.add(record.id() + " ran " + lateMs + " ms after the bound of its removed key");
      }
    }
  }

  private void checkRepeats(Map<String, List<RunRecorder.Run>> runs, List<String> broken) {
    long arrivals = fleet.ledger().rejected();
    for (List<RunRecorder.Run> list : runs.values()) {
      arrivals += list.size();
    }
    long requests = callers.sent();
    double allowed = requests * (1 + SoakFleet.REPEAT_RATIO) + SoakFleet.REPEAT_FIXED;
    if (arrivals > allowed) {
      broken.add(arrivals + " arrivals at back ends for " + requests + " requests");
    }
  }

  private void checkPrograms(List<String> broken) {
    for (Program program : fleet.programs()) {
      for (ProgramLife life : program.lives()) {
        if (life.hasEndedByItself()) {
          broken.add(program.vm() + " ended by itself with code " + life.exitCode());
        }
      }
    }
  }

  /**
   * Checks that all is well some time after the last fault.
   *
   * @param removedKey key that was removed
   * @param since begin of the requests to judge, in monotonic nanoseconds
   * @return one sentence for each broken promise
   */
  List<String> checkRecovered(String removedKey, long since) {
    List<String> broken = new ArrayList<>();
    List<CallerRecord> late =
        callers.records().stream()
            .filter(record -> record.startedAt() - since > 0)
            .filter(record -> !record.key().equals(removedKey))
            .toList();
    long served = late.stream().filter(CallerRecord::isServed).count();
    if (late.isEmpty() || served < RECOVERED_SHARE * late.size()) {
      broken.add("after the last fault " + served + " of " + late.size() + " were served");
    }
    long newest = fleet.weightVersion();
    long older =
        fleet.ledger().runs().values().stream()
            .flatMap(List::stream)
            .filter(run -> run.atNanos() - since > 0 && run.version() > 0)
            .filter(run -> run.version() < newest)
            .count();
    if (older > 0) {
      broken.add("after the last fault " + older + " requests ran on older weights");
    }
    for (CallerRecord record : callers.records()) {
      if (record.key().equals(removedKey)
          && record.startedAt() - since > 0
          && record.status() != UNAUTHORIZED) {
        broken.add(record.id() + " with the removed key was answered with " + record.status());
      }
    }
    return broken;
  }
}
