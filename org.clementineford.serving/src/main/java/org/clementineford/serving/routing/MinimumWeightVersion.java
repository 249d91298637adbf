package org.clementineford.serving.routing;

import java.util.concurrent.TimeUnit;

/**
 * The lowest version of the weights that may answer requests. A new target version, which an
 * operator sets, becomes the minimum after a delay, so that engines can load it one after the
 * other.
 */
public final class MinimumWeightVersion {
  /**
   * Fraction of the bound after which the target version is required. The rest covers the time that
   * requests take to reach the endpoints.
   */
  public static final double REQUIRED_FRACTION = 0.9;

  /**
   * Time to wait for a report of the time at which the target version was set, if the first report
   * lacks that time. Another process may have received the version when it was set.
   */
  private static final long SET_TIME_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private final long requiredAfterNanos;
  private long minimum;
  private Target next = Target.NONE;
  private Target later = Target.NONE;

  /** A target version, the time from which its bound counts, and whether that time was reported. */
  private record Target(long version, long setAt, boolean timeKnown) {
    private static final Target NONE = new Target(0, 0, false);

    /** Merges two reports of one version: a known time takes precedence, then the earlier time. */
    Target merge(Target other) {
      if (timeKnown != other.timeKnown) {
        return timeKnown ? this : other;
      }
      return other.setAt - setAt < 0 ? other : this;
    }
  }

  /**
   * Creates a minimum that admits all versions.
   *
   * @param boundMs time from the setting of a target version until no request may begin on an older
   *     version, in milliseconds
   */
  public MinimumWeightVersion(long boundMs) {
    this.requiredAfterNanos = TimeUnit.MILLISECONDS.toNanos((long) (boundMs * REQUIRED_FRACTION));
  }

  /**
   * Records a target version that was set at a known time.
   *
   * @param version the version
   * @param setAt monotonic time at which a process first received the target version, in
   *     nanoseconds
   */
  public void addTarget(long version, long setAt) {
    addPending(new Target(version, setAt, true));
  }

  /**
   * Records a target version that was set at an unknown time, before the reporting process started.
   * The version is required after a short wait, unless another process reports within that time
   * when it was set.
   *
   * @param version the version
   * @param now monotonic time in nanoseconds
   */
  public void addTargetWithUnknownTime(long version, long now) {
    addPending(new Target(version, now - requiredAfterNanos + SET_TIME_REPORT_NANOS, false));
  }

  private void addPending(Target target) {
    if (target.version() <= minimum) {
      return;
    }
    if (next.version() <= minimum) {
      next = target;
    } else if (target.version() == next.version()) {
      next = next.merge(target);
    } else if (target.version() == later.version()) {
      later = later.merge(target);
    } else if (target.version() > Math.max(next.version(), later.version())) {
      // At most two pending targets are kept. The newest replaces the second and takes its bound.
      later = later.version() > next.version() ? later.merge(target) : target;
      later = new Target(target.version(), later.setAt(), later.timeKnown());
    }
  }

  /**
   * Returns whether a target version of this number or a higher one was recorded.
   *
   * @param version the version
   * @return false if it is newer than all recorded target versions
   */
  public boolean hasTarget(long version) {
    return version <= Math.max(minimum, Math.max(next.version(), later.version()));
  }

  /**
   * Returns the lowest version of the weights that may answer requests.
   *
   * @param now monotonic time in nanoseconds
   * @return a version number; it never decreases
   */
  public long minimum(long now) {
    if (next.version() > minimum && now - next.setAt() >= requiredAfterNanos) {
      minimum = next.version();
      next = later;
      later = Target.NONE;
    }
    return minimum;
  }
}
