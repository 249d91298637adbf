package org.clementineford.requests.admission;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.concurrent.TimeUnit;
import org.agrona.collections.LongHashSet;

/**
 * Fingerprints of attempts that ran and whose entries were dropped. An attempt that is found here
 * may have run, so it is never reported as revoked. Claims live for 24 h on the platform, so
 * fingerprints are kept for 24 to 48 h.
 */
final class ForgottenAttempts {
  private static final long GENERATION_NANOS = TimeUnit.HOURS.toNanos(24);

  private final int capacity;
  private LongHashSet current = new LongHashSet();
  private LongHashSet previous = new LongHashSet();
  private boolean currentOverflowed;
  private boolean previousOverflowed;
  private long generationStart;
  private boolean started;

  ForgottenAttempts(int capacity) {
    this.capacity = capacity;
  }

  void add(String attemptId, long nowNanos) {
    rotate(nowNanos);
    if (current.size() < capacity) {
      current.add(fingerprint(attemptId));
    } else {
      currentOverflowed = true;
    }
  }

  /** Tells whether the attempt may have run; always true after more attempts than fit. */
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
    long fingerprint = fingerprint(attemptId);
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

  private static long fingerprint(String attemptId) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(attemptId.getBytes(StandardCharsets.UTF_8));
      return ByteBuffer.wrap(digest).getLong();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", e);
    }
  }
}
