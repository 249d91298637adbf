package org.clementineford.standins;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Named counters of a stand-in; {@code GET /counters} returns them as JSON. */
public final class Counters {
  private final Map<String, LongAdder> values = new ConcurrentHashMap<>();

  /**
   * Adds to a counter.
   *
   * @param name name of the counter
   * @param amount amount to add
   */
  public void add(String name, long amount) {
    values.computeIfAbsent(name, key -> new LongAdder()).add(amount);
  }

  /**
   * Returns the value of a counter.
   *
   * @param name name of the counter
   * @return the sum; 0 for a counter that was never incremented
   */
  public long get(String name) {
    LongAdder value = values.get(name);
    return value == null ? 0 : value.sum();
  }

  /**
   * Returns all counters.
   *
   * @return values by name, ordered by name
   */
  public Map<String, Long> all() {
    Map<String, Long> all = new TreeMap<>();
    values.forEach((name, value) -> all.put(name, value.sum()));
    return all;
  }
}
