package org.clementineford.serving.routing;

import java.util.concurrent.TimeUnit;

/**
 * Lowest version of weights to which requests may go. A named version becomes the minimum some time
 * after it was learnt, so that engines can load it one after the other.
 */
public final class VersionGate {
  /** Part of the bound after which the named version is required; the rest covers the way there. */
  private static final double REQUIRED_PART = 0.9;

  private final long requiredAfterNanos;
  private long minimum;
  private long target;
  private long targetAt;
  private long later;
  private long laterAt;

  /**
   * Creates a gate that lets each version pass.
   *
   * @param boundMs time after which no request may begin on an older version, in milliseconds
   */
  public VersionGate(long boundMs) {
    this.requiredAfterNanos = TimeUnit.MILLISECONDS.toNanos((long) (boundMs * REQUIRED_PART));
  }

  /**
   * Notes that a version was named.
   *
   * @param version the version
   * @param namedAt monotonic time at which it was first known, in nanoseconds
   */
  public void named(long version, long namedAt) {
    if (version > target) {
      if (target > minimum && later == 0) {
        later = version;
        laterAt = namedAt;
      } else if (target > minimum) {
        later = Math.max(later, version);
      } else {
        target = version;
        targetAt = namedAt;
      }
    } else if (version == target && namedAt - targetAt < 0) {
      targetAt = namedAt;
    } else if (version == later && namedAt - laterAt < 0) {
      laterAt = namedAt;
    }
  }

  /**
   * Returns the lowest version that may answer requests.
   *
   * @param now monotonic time in nanoseconds
   * @return a version; it never decreases
   */
  public long minimum(long now) {
    if (target > minimum && now - targetAt >= requiredAfterNanos) {
      minimum = target;
      if (later > target) {
        target = later;
        targetAt = laterAt;
        later = 0;
      }
    }
    return minimum;
  }
}
