package org.clementineford.serving.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Finds the suspects that explain crashes of endpoints. Each crash has one cause, but all requests
 * that an endpoint held, and all parts of their prompts, are suspects. So the suspect that most
 * crashes have in common is blamed first, and these crashes no longer count against others.
 */
final class CrashSuspects {
  /**
   * Crashes of different engines from which on a suspect is blamed. Two may coincide, since a
   * request that loses its engine is sent to a second one.
   */
  private static final int MIN_CRASHES = 3;

  /**
   * Crashes from which on requests are blamed that were in exactly the same ones. One of them is
   * likely to be sound, and the next crash tells them apart.
   */
  private static final int MIN_AMBIGUOUS_CRASHES = 4;

  private CrashSuspects() {}

  /** Returns the suspects that are blamed. */
  static Set<Suspect> blamed(Collection<SuspectRecord> records) {
    Set<Suspect> blamed = new LinkedHashSet<>();
    Set<Long> explained = new HashSet<>();
    for (List<SuspectRecord> next = strongest(records, explained);
        !next.isEmpty();
        next = strongest(records, explained)) {
      for (SuspectRecord record : next) {
        blamed.add(record.suspect());
        record.crashes().forEach(crash -> explained.add(crash.engine()));
      }
    }
    return blamed;
  }

  /**
   * Returns the suspect that explains most of the remaining crashes, and those of its kind that
   * were in exactly the same ones, since they cannot be told apart. A request goes before the parts
   * of its prompt.
   */
  private static List<SuspectRecord> strongest(
      Collection<SuspectRecord> records, Set<Long> explained) {
    // Most suspects are in one crash by chance; only the others are compared with each other.
    List<SuspectRecord> candidates =
        records.stream()
            .filter(record -> record.crashes().size() >= MIN_CRASHES)
            .filter(CrashSuspects::hasEnoughRequests)
            .toList();
    return candidates.stream()
        .filter(record -> unexplained(record, explained) >= minCrashes(record, candidates))
        .max(
            Comparator.comparingLong((SuspectRecord record) -> unexplained(record, explained))
                .thenComparing(record -> record.suspect().kind())
                .thenComparingLong(CrashSuspects::requests)
                .thenComparing(record -> record.suspect().id()))
        .map(best -> equals(best, candidates))
        .orElse(List.of());
  }

  private static int minCrashes(SuspectRecord record, Collection<SuspectRecord> records) {
    boolean ambiguous =
        record.suspect().kind() == Suspect.Kind.REQUEST && equals(record, records).size() > 1;
    return ambiguous ? MIN_AMBIGUOUS_CRASHES : MIN_CRASHES;
  }

  /** Returns the records of the same kind and the same crashes, including the given one. */
  private static List<SuspectRecord> equals(
      SuspectRecord record, Collection<SuspectRecord> records) {
    return records.stream()
        .filter(other -> other.suspect().kind() == record.suspect().kind())
        .filter(other -> engines(other).equals(engines(record)))
        .toList();
  }

  private static boolean hasEnoughRequests(SuspectRecord record) {
    return requests(record) >= record.suspect().kind().minRequests();
  }

  private static long unexplained(SuspectRecord record, Set<Long> explained) {
    return engines(record).stream().filter(engine -> !explained.contains(engine)).count();
  }

  private static Set<Long> engines(SuspectRecord record) {
    Set<Long> engines = new HashSet<>();
    record.crashes().forEach(crash -> engines.add(crash.engine()));
    return engines;
  }

  private static long requests(SuspectRecord record) {
    return record.crashes().stream().mapToLong(EngineCrash::request).distinct().count();
  }
}
