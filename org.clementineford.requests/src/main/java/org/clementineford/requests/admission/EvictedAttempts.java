package org.clementineford.requests.admission;

import java.util.concurrent.TimeUnit;
import org.agrona.collections.LongHashSet;
import org.clementineford.kernel.Fingerprint;

/**
 * Fingerprints of attempts that may have run and whose registry entries were evicted. Such an
 * attempt is never reported as revoked. Claims are stored on the platform for 24 h, so fingerprints
 * are kept for 24 to 48 h.
 */
final class EvictedAttempts {
  private static final long GENERATION_NANOS = TimeUnit.HOURS.toNanos(24);

  private final int capacity;
  private LongHashSet current = new LongHashSet();
  private LongHashSet previous = new LongHashSet();
  private boolean currentOverflowed;
  private boolean previousOverflowed;
  private long generationStart;
  private boolean started;

  EvictedAttempts(int capacity) {
    this.capacity = capacity;
  }

  void add(String attemptId, long nowNanos) {
    rotate(nowNanos);
    if (current.size() < capacity) {
      current.add(Fingerprint.of(attemptId));
    } else {
      currentOverflowed = true;
    }
  }

  /**
   * Returns whether the attempt may have run; always true while a generation has had more attempts
   * than it can hold.
   */
  boolean mayContain(String attemptId, long nowNanos) {
    if (!started) {
      return false;
    }
    rotate(nowNanos);
    if (currentOverflowed || previousOverflowed) {
      return true;
    }
    if (current.isEmpty() && previous.isEmpty()) {
      return false;
    }
    long fingerprint = Fingerprint.of(attemptId);
    return current.contains(fingerprint) || previous.contains(fingerprint);
  }

  private void rotate(long nowNanos) {
    if (!started) {
      started = true;
      generationStart = nowNanos;
    }
    while (nowNanos - generationStart >= GENERATION_NANOS) {
      previous = current;
      previousOverflowed = currentOverflowed;
      current = new LongHashSet();
      currentOverflowed = false;
      generationStart += GENERATION_NANOS;
    }
  }
}
