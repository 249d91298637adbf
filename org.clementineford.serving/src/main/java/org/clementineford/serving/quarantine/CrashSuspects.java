package org.clementineford.serving.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Finds the prompt parts that explain crashes of engines. Each crash has one cause, but all parts
 * of the requests that an engine held are suspects. So the part that most crashes have in common is
 * blamed first, and these crashes no longer count against other parts.
 */
final class CrashSuspects {
  /**
   * Crashes of different engines from which on a part is blamed. Two may coincide, since a request
   * that loses its engine is sent to a second one.
   */
  private static final int MIN_CRASHES = 3;

  /** Different requests that these crashes must have in common with the part. */
  private static final int MIN_REQUESTS = 2;

  private CrashSuspects() {}

  /** Returns the parts that are blamed. */
  static Set<Suspect> blamed(Collection<SuspectRecord> records) {
    Set<Suspect> blamed = new LinkedHashSet<>();
    Set<Long> explained = new HashSet<>();
    for (List<SuspectRecord> next = strongest(records, explained);
        !next.isEmpty();
        next = strongest(records, explained)) {
      for (SuspectRecord record : next) {
        blamed.add(record.part());
        record.crashes().forEach(crash -> explained.add(crash.engine()));
      }
    }
    return blamed;
  }

  /**
   * Returns the part that explains most of the remaining crashes, and those that were in exactly
   * the same ones, since they cannot be told apart.
   */
  private static List<SuspectRecord> strongest(
      Collection<SuspectRecord> records, Set<Long> explained) {
    return records.stream()
        .filter(record -> unexplained(record, explained) >= MIN_CRASHES)
        .filter(record -> requests(record) >= MIN_REQUESTS)
        .max(
            Comparator.comparingLong((SuspectRecord record) -> unexplained(record, explained))
                .thenComparingLong(CrashSuspects::requests)
                .thenComparing(record -> record.part().id()))
        .map(best -> records.stream().filter(other -> engines(other).equals(engines(best))))
        .map(equals -> equals.filter(record -> requests(record) >= MIN_REQUESTS).toList())
        .orElse(List.of());
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
