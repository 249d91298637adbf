package org.clementineford.weights;

import org.clementineford.kernel.VmIdentity;

/** State of one peer in a transfer: its chunks, outstanding fetches and penalties. */
final class SwarmPeer {
  private final VmIdentity identity;
  private final SourceKind kind;
  private ChunkBitmap map;
  private int outstanding;
  private long lastProgressNanos;
  private long busyUntilNanos = Long.MIN_VALUE;
  private long avoidedUntilNanos = Long.MIN_VALUE;
  private long lastResortFromNanos = Long.MIN_VALUE;

  SwarmPeer(VmIdentity identity, SourceKind kind, int chunks) {
    this.identity = identity;
    this.kind = kind;
    this.map = new ChunkBitmap(chunks);
  }

  VmIdentity identity() {
    return identity;
  }

  SourceKind kind() {
    return kind;
  }

  ChunkBitmap map() {
    return map;
  }

  void setMap(ChunkBitmap map) {
    this.map = map;
  }

  int outstanding() {
    return outstanding;
  }

  void addOutstanding(int change) {
    outstanding = Math.max(0, outstanding + change);
  }

  void progressed(long now) {
    lastProgressNanos = now;
  }

  /** Returns the time at which bytes of any fetch from this peer last arrived. */
  long lastProgressNanos() {
    return lastProgressNanos;
  }

  void busyUntil(long nanos) {
    busyUntilNanos = Math.max(busyUntilNanos, nanos);
  }

  void avoid(long now, long duration, long lastResortDelay) {
    avoidedUntilNanos = Math.max(avoidedUntilNanos, now + duration);
    lastResortFromNanos = now + lastResortDelay;
  }

  void forgive() {
    avoidedUntilNanos = Long.MIN_VALUE;
  }

  boolean isAvoided(long now) {
    return now < avoidedUntilNanos;
  }

  boolean isUsable(long now, int perPeer) {
    return outstanding < perPeer && now >= busyUntilNanos && !isAvoided(now);
  }

  /** Returns whether an avoided peer may be asked if no other peer holds a chunk. */
  boolean isLastResort(long now) {
    return isAvoided(now)
        && outstanding == 0
        && now >= busyUntilNanos
        && now >= lastResortFromNanos;
  }
}
