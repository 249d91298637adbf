package org.clementineford.serving.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * Requests whose connections to engines ended, until it is confirmed that the engine crashed. Times
 * are monotonic nanoseconds.
 */
final class Interruptions {
  /**
   * Longest time between the end of a connection and the confirmation that its engine crashed. A
   * new connection is refused at once, or the attempt times out after 500 ms.
   */
  private static final long CONFIRMATION_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  private static final int MAX_ENGINES = 256;

  private final Map<Long, List<Interruption>> byEngine = new BoundedMap<>(MAX_ENGINES);
  private final Map<Long, Long> crashedAt = new BoundedMap<>(MAX_ENGINES);

  /**
   * A request whose connection to an engine ended.
   *
   * @param request fingerprint of the request's ID
   * @param parts parts of its prompt that may have crashed the engine
   * @param at time at which the connection ended
   */
  record Interruption(long request, List<Suspect> parts, long at) {
    boolean isConfirmable(long now) {
      return now - at <= CONFIRMATION_NANOS;
    }
  }

  /** Adds an interruption, unless its engine is known to have crashed; returns whether it did. */
  boolean addUnlessCrashed(long engine, Interruption interruption) {
    Long crashed = crashedAt.get(engine);
    if (crashed != null && interruption.at() - crashed <= CONFIRMATION_NANOS) {
      return false;
    }
    List<Interruption> interrupted = byEngine.computeIfAbsent(engine, key -> new ArrayList<>());
    interrupted.removeIf(each -> !each.isConfirmable(interruption.at()));
    interrupted.add(interruption);
    return true;
  }

  /** Returns the number of interruptions that are kept. */
  int size() {
    return byEngine.values().stream().mapToInt(List::size).sum();
  }

  /** Records a crash, and removes and returns the interruptions that it explains. */
  List<Interruption> confirm(long engine, long now) {
    crashedAt.putIfAbsent(engine, now);
    List<Interruption> interrupted = byEngine.remove(engine);
    return interrupted == null
        ? List.of()
        : interrupted.stream().filter(each -> each.isConfirmable(now)).toList();
  }

  /** Returns the engines that recently lost a request with a prompt part. */
  Set<Long> engines(Suspect part, long now) {
    Set<Long> engines = new TreeSet<>();
    byEngine.forEach(
        (engine, interrupted) -> {
          if (interrupted.stream()
              .anyMatch(each -> each.isConfirmable(now) && each.parts().contains(part))) {
            engines.add(engine);
          }
        });
    return engines;
  }
}
