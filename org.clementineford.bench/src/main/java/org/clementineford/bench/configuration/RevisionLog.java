package org.clementineford.bench.configuration;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.agrona.concurrent.SystemNanoClock;

/** When each revision came into force on each node. */
final class RevisionLog {
  private final Map<Integer, Long> highest = new ConcurrentHashMap<>();
  private final Map<Integer, Map<Long, Long>> times = new ConcurrentHashMap<>();
  private final AtomicLong decreases = new AtomicLong();

  void inForce(int node, long revision) {
    Long before = highest.put(node, revision);
    if (before != null && before >= revision) {
      decreases.incrementAndGet();
    }
    times
        .computeIfAbsent(node, key -> new ConcurrentHashMap<>())
        .put(revision, SystemNanoClock.INSTANCE.nanoTime());
  }

  /**
   * Returns when a node first had a revision or a higher one.
   *
   * @return monotonic time, or -1 if it does not have it yet
   */
  long reached(int node, long revision) {
    return times.getOrDefault(node, Map.of()).entrySet().stream()
        .filter(entry -> entry.getKey() >= revision)
        .mapToLong(Map.Entry::getValue)
        .min()
        .orElse(-1);
  }

  long decreases() {
    return decreases.get();
  }
}
