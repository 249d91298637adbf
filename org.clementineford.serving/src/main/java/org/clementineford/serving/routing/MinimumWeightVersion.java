package org.clementineford.serving.routing;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * The lowest version of the weights that may answer requests. A new target version, which an
 * operator sets, becomes the minimum after a delay, so that engines can load it one after the
 * other. A request that would wait long at its engine needs it sooner, and one that still waits
 * shortly before the bound is recalled. This answers a load at which an engine becomes free shortly
 * before the bound and all entry VMs send it their waiting requests at once.
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

  private static final double NANOS_PER_MS = 1e6;

  /**
   * Time before the bound at which a waiting request is recalled, in milliseconds; an estimate of
   * the time that the reset needs to reach the engine. The first VM learns of a version a few
   * milliseconds after its confirmation.
   */
  private static final long RECALL_MS = 200;

  /**
   * Factor by which a wait may exceed its prediction, since prompts may be longer than the mean; an
   * estimate. Larger differences are left to the recall.
   */
  private static final double WAIT_MARGIN = 1.5;

  private final long recallAfterNanos;
  private final long requiredAfterNanos;
  private long minimum;
  private long minimumSetAt;
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
    this.recallAfterNanos =
        Math.max(requiredAfterNanos, TimeUnit.MILLISECONDS.toNanos(boundMs - RECALL_MS));
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
      minimumSetAt = next.setAt();
      next = later;
      later = Target.NONE;
    }
    return minimum;
  }

  /**
   * Returns the lowest version of the weights that may answer a request sent now.
   *
   * @param now monotonic time in nanoseconds
   * @param firstTokenMs predicted time until the first token, in milliseconds
   * @return a version number, not lower than {@link #minimum}
   */
  public long minimumFor(long now, double firstTokenMs) {
    long required = minimum(now);
    long afterNanos = recallAfterNanos - (long) (WAIT_MARGIN * firstTokenMs * NANOS_PER_MS);
    for (Target target : new Target[] {next, later}) {
      if (target.version() > required && now - target.setAt() >= afterNanos) {
        required = target.version();
      }
    }
    return required;
  }

  /**
   * Returns when a request without a first event is to be recalled from an engine, if the engine
   * still has weights below the minimum then.
   *
   * @param version version of the engine's weights
   * @param now monotonic time in nanoseconds
   * @return delay in nanoseconds; empty if no newer version is pending or required
   */
  public OptionalLong recallDelayNanos(long version, long now) {
    if (version < minimum(now)) {
      return recallDelay(minimumSetAt, now);
    }
    for (Target target : new Target[] {next, later}) {
      if (target.version() > version) {
        return recallDelay(target.setAt(), now);
      }
    }
    return OptionalLong.empty();
  }

  private OptionalLong recallDelay(long setAt, long now) {
    return OptionalLong.of(Math.max(0, setAt + recallAfterNanos - now));
  }
}
