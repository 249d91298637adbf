package org.clementineford.serving.routing;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
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

  /** Number of target versions whose bounds are kept; more are not named within one bound. */
  private static final int MAX_TARGETS = 16;

  private final long recallAfterNanos;
  private final long requiredAfterNanos;

  /** Target versions, each with its bound: pending ones, and the newest that are required. */
  private final TreeMap<Long, Target> targets = new TreeMap<>();

  private long minimum;

  /** The time from which the bound of a version counts, and whether that time was reported. */
  private record Target(long setAt, boolean timeKnown) {
    /** Merges two reports of one version: a known time takes precedence, then the earlier time. */
    Target merge(Target other) {
      return timeKnown == other.timeKnown ? earlier(other) : timeKnown ? this : other;
    }

    /** Returns the target of which the bound ends first. */
    Target earlier(Target other) {
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
   * Records a target version that was set at a known time. Versions may become known in any order.
   *
   * @param version the version
   * @param setAt monotonic time at which a process first received the target version, in
   *     nanoseconds
   * @return true if the version was not known and is newer than the minimum
   */
  public boolean addTarget(long version, long setAt) {
    return add(version, new Target(setAt, true));
  }

  /**
   * Records a target version that was set at an unknown time, before the reporting process started.
   * The version is required after a short wait, unless another process reports within that time
   * when it was set.
   *
   * @param version the version
   * @param now monotonic time in nanoseconds
   * @return true if the version was not known and is newer than the minimum
   */
  public boolean addTargetWithUnknownTime(long version, long now) {
    return add(version, new Target(now - requiredAfterNanos + SET_TIME_REPORT_NANOS, false));
  }

  private boolean add(long version, Target target) {
    final boolean isNew = version > minimum && !targets.containsKey(version);
    targets.merge(version, target, Target::merge);
    if (targets.size() > MAX_TARGETS) {
      dropOldest();
    }
    return isNew;
  }

  /**
   * Drops the oldest version. If it was pending, the next one takes its bound if that is sooner.
   */
  private void dropOldest() {
    Map.Entry<Long, Target> oldest = targets.pollFirstEntry();
    if (oldest.getKey() > minimum) {
      targets.computeIfPresent(
          targets.firstKey(), (version, target) -> target.earlier(oldest.getValue()));
    }
  }

  /**
   * Returns the lowest version of the weights that may answer requests.
   *
   * @param now monotonic time in nanoseconds
   * @return a version number; it never decreases
   */
  public long minimum(long now) {
    minimum = Math.max(minimum, newestSetBefore(now - requiredAfterNanos));
    return minimum;
  }

  /** Returns the newest target version that was set at a time or before it; 0 if there is none. */
  private long newestSetBefore(long time) {
    for (Map.Entry<Long, Target> entry : targets.descendingMap().entrySet()) {
      if (entry.getValue().setAt() - time <= 0) {
        return entry.getKey();
      }
    }
    return 0;
  }

  /**
   * Returns the lowest version of the weights that may answer a request sent now.
   *
   * @param now monotonic time in nanoseconds
   * @param firstTokenMs predicted time until the first token, in milliseconds
   * @return a version number, not lower than {@link #minimum}
   */
  public long minimumFor(long now, double firstTokenMs) {
    long afterNanos = recallAfterNanos - (long) (WAIT_MARGIN * firstTokenMs * NANOS_PER_MS);
    return Math.max(minimum(now), newestSetBefore(now - afterNanos));
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
    return targets.tailMap(version, false).values().stream()
        .mapToLong(target -> Math.max(0, target.setAt() + recallAfterNanos - now))
        .min();
  }
}
