package org.clementineford.replica.internal;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides when the list of digests is suspected instead of the sources of chunks. A list may have a
 * wrong digest and the right form; the chunk then never matches, whoever sends it. Not thread-safe.
 */
final class DigestSuspicion {
  /** Mismatches of one chunk after which the list is read again; one may be a spoilt chunk. */
  private static final int MAX_MISMATCHES = 2;

  private final Runnable onSuspected;
  private final Map<Integer, Integer> mismatches = new HashMap<>();
  private final Map<Integer, byte[]> mismatched = new HashMap<>();
  private boolean suspected;

  DigestSuspicion(Runnable onSuspected) {
    this.onSuspected = onSuspected;
  }

  /**
   * Records a chunk that did not match its digest.
   *
   * @param chunk number of the chunk
   * @param bytes what a source sent for it
   */
  void mismatched(int chunk, byte[] bytes) {
    mismatched.put(chunk, bytes);
    if (mismatches.merge(chunk, 1, Integer::sum) >= MAX_MISMATCHES && !suspected) {
      suspected = true;
      onSuspected.run();
    }
  }

  /**
   * Ends the suspicion after the list was read again.
   *
   * @return the last bytes received for each chunk that did not match, by chunk number
   */
  Map<Integer, byte[]> end() {
    final Map<Integer, byte[]> last = Map.copyOf(mismatched);
    mismatched.clear();
    mismatches.clear();
    suspected = false;
    return last;
  }
}
