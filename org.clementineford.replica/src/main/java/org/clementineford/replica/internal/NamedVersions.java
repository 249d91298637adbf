package org.clementineford.replica.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.clementineford.wire.NamedVersion;

/**
 * The newest versions of weights that were named, with the times at which this VM learned of them.
 * Each has a bound of its own, so that entry VMs are told of all of them. Not thread-safe.
 */
final class NamedVersions {
  /** Number of versions to keep; more are not named within one time limit. */
  private static final int MAX_VERSIONS = 8;

  private final NanoClock clock;
  private final long timeLimitNanos;
  private final TreeMap<Long, Naming> namings = new TreeMap<>();

  private record Naming(long at, boolean timeKnown) {}

  /**
   * Creates an instance without versions.
   *
   * @param clock monotonic clock
   * @param timeLimitNanos time from the naming of a version until no older one may be used
   */
  NamedVersions(NanoClock clock, long timeLimitNanos) {
    this.clock = clock;
    this.timeLimitNanos = timeLimitNanos;
  }

  /**
   * Adds a version. One that was named at an unknown time is due immediately.
   *
   * @param version the version, higher than those before
   * @param learnedAt when this VM learned of it, in monotonic nanoseconds
   * @param timeKnown true if it was named at about that time
   */
  void add(long version, long learnedAt, boolean timeKnown) {
    namings.put(version, new Naming(timeKnown ? learnedAt : learnedAt - timeLimitNanos, timeKnown));
    if (namings.size() > MAX_VERSIONS) {
      namings.pollFirstEntry();
    }
  }

  /** Returns when this VM learned of a version, or of the next one that it knows. */
  long namedAt(long version) {
    Map.Entry<Long, Naming> known = namings.ceilingEntry(version);
    return known == null ? clock.nanoTime() : known.getValue().at();
  }

  /** Returns when this VM learned of the first version after the given one; empty if of none. */
  OptionalLong namedAtAfter(long version) {
    Map.Entry<Long, Naming> next = namings.higherEntry(version);
    return next == null ? OptionalLong.empty() : OptionalLong.of(next.getValue().at());
  }

  /**
   * Returns the time since a version was named.
   *
   * @param version the version
   * @return milliseconds; -1 if this process may not have seen the version being named
   */
  int ageMs(long version) {
    Naming naming = namings.get(version);
    if (naming == null || !naming.timeKnown()) {
      return -1;
    }
    long ageMs = TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - naming.at());
    return (int) Math.min(Integer.MAX_VALUE, ageMs);
  }

  /** Returns the known versions before the given one, oldest first. */
  List<NamedVersion> before(long version) {
    List<NamedVersion> earlier = new ArrayList<>();
    namings.headMap(version).keySet().forEach(v -> earlier.add(new NamedVersion(v, ageMs(v))));
    return earlier;
  }
}
