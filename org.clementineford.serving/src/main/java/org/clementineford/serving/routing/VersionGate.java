package org.clementineford.serving.routing;

import java.util.concurrent.TimeUnit;

/**
 * Lowest version of weights to which requests may go. A named version becomes the minimum some time
 * after it was learnt, so that engines can load it one after the other.
 */
public final class VersionGate {
  /** Part of the bound after which the named version is required; the rest covers the way there. */
  private static final double REQUIRED_PART = 0.9;

  /** Time in which a process that saw the naming should be heard, if there is one. */
  private static final long WITNESS_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private final long requiredAfterNanos;
  private long minimum;
  private Named next = Named.NONE;
  private Named later = Named.NONE;

  /** A version, the time that its bound counts from, and whether a process saw it being named. */
  private record Named(long version, long at, boolean witnessed) {
    private static final Named NONE = new Named(0, 0, false);

    /** Combines two statements about the same version. */
    Named and(Named other) {
      if (witnessed != other.witnessed) {
        return witnessed ? this : other;
      }
      return other.at - at < 0 ? other : this;
    }
  }

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
   * @param namedAt monotonic time at which a process first knew it, in nanoseconds
   */
  public void named(long version, long namedAt) {
    note(new Named(version, namedAt, true));
  }

  /**
   * Notes that a version was named at an unknown time, before a process started. Unless another
   * process saw it, its bound counts as over.
   *
   * @param version the version
   * @param now monotonic time in nanoseconds
   */
  public void namedBefore(long version, long now) {
    note(new Named(version, now - requiredAfterNanos + WITNESS_NANOS, false));
  }

  private void note(Named named) {
    if (named.version() <= minimum) {
      return;
    }
    if (next.version() <= minimum) {
      next = named;
    } else if (named.version() == next.version()) {
      next = next.and(named);
    } else if (named.version() == later.version()) {
      later = later.and(named);
    } else if (named.version() > Math.max(next.version(), later.version())) {
      // With several versions to come, the newest takes the bound of the first.
      later = later.version() > next.version() ? later.and(named) : named;
      later = new Named(named.version(), later.at(), later.witnessed());
    }
  }

  /**
   * Tells whether a version was heard of.
   *
   * @param version the version
   * @return false if it is newer than all that were noted
   */
  public boolean knows(long version) {
    return version <= Math.max(minimum, Math.max(next.version(), later.version()));
  }

  /**
   * Returns the lowest version that may answer requests.
   *
   * @param now monotonic time in nanoseconds
   * @return a version; it never decreases
   */
  public long minimum(long now) {
    if (next.version() > minimum && now - next.at() >= requiredAfterNanos) {
      minimum = next.version();
      next = later;
      later = Named.NONE;
    }
    return minimum;
  }
}
