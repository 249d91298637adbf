package org.clementineford.kernel.timeline;

/**
 * Reading of a hybrid logical clock.
 *
 * @param physicalMs highest wall-clock time heard of, in milliseconds since the epoch
 * @param logical counter that orders readings with the same physical part
 */
public record HybridTime(long physicalMs, int logical) implements Comparable<HybridTime> {
  @Override
  public int compareTo(HybridTime other) {
    int byPhysical = Long.compare(physicalMs, other.physicalMs);
    return byPhysical != 0 ? byPhysical : Integer.compare(logical, other.logical);
  }
}
