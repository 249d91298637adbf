package org.clementineford.weights;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the rate of fetches from each other region, so that transfers leave a share of the links
 * between regions to requests. The VMs of a region divide the allowed bandwidth evenly.
 */
final class ImportRateLimiter {
  /** Number of fetches that may start at once after an idle period. */
  private static final int BURST = 2;

  private final Map<String, Long> nextNanos = new HashMap<>();
  private long intervalNanos;

  /** Sets the interval between two fetches from the same region; 0 for no limit. */
  void setInterval(long nanos) {
    intervalNanos = nanos;
  }

  boolean mayStart(String region, long now) {
    return intervalNanos == 0 || nextNanos.getOrDefault(region, Long.MIN_VALUE) <= now;
  }

  void started(String region, long now) {
    long earliest = now - (BURST - 1) * intervalNanos;
    nextNanos.merge(region, earliest, Math::max);
    nextNanos.merge(region, intervalNanos, Long::sum);
  }
}
