package org.clementineford.weights;

import java.util.HashMap;
import java.util.Map;

/**
 * Spreads fetches from other regions in time, so that transfers leave a share of each link between
 * regions to requests. The VMs of a region divide the allowed bandwidth evenly among them.
 */
final class ImportPace {
  /** Fetches that may start at once after a time without any. */
  private static final int BURST = 2;

  private final Map<String, Long> nextNanos = new HashMap<>();
  private long intervalNanos;

  /** Sets the time between two fetches from one region; 0 for no limit. */
  void setInterval(long nanos) {
    intervalNanos = nanos;
  }

  boolean isOpen(String region, long now) {
    return intervalNanos == 0 || nextNanos.getOrDefault(region, Long.MIN_VALUE) <= now;
  }

  void started(String region, long now) {
    long earliest = now - (BURST - 1) * intervalNanos;
    nextNanos.merge(region, earliest, Math::max);
    nextNanos.merge(region, intervalNanos, Long::sum);
  }
}
