package org.clementineford.kernel.timeline;

/**
 * A reading of a {@link HybridLogicalClock}.
 *
 * @param physicalMs highest wall-clock time read or received, in milliseconds since the epoch
 * @param logical counter that orders readings of the same {@code physicalMs}
 */
public record HybridTime(long physicalMs, int logical) implements Comparable<HybridTime> {
  @Override
  public int compareTo(HybridTime other) {
    int byPhysical = Long.compare(physicalMs, other.physicalMs);
    return byPhysical != 0 ? byPhysical : Integer.compare(logical, other.logical);
  }
}
