package org.clementineford.configuration.membership;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Tells whether this process may trust its own failed probes. A paused process, or one whose own
 * link failed, finds many members silent at once and must not accuse them.
 *
 * <p>Source of the idea that an observer doubts itself first: A. Dadgar, J. Phillips, J. Currey,
 * "Lifeguard: Local Health Awareness for More Accurate Failure Detection", DSN 2018.
 */
final class ObserverHealth {
  private final long longestTickNanos;
  private final long recoveryNanos;
  private final Set<String> silent = new HashSet<>();
  private long lastTickNanos;
  private long distrustedUntilNanos;
  private boolean started;

  /**
   * Creates the state of a healthy observer.
   *
   * @param longestTickNanos a longer time between ticks means that this process was paused
   * @param recoveryNanos time after a pause during which failed probes are not trusted
   */
  ObserverHealth(long longestTickNanos, long recoveryNanos) {
    this.longestTickNanos = longestTickNanos;
    this.recoveryNanos = recoveryNanos;
  }

  void tick(long nowNanos) {
    if (started && nowNanos - lastTickNanos > longestTickNanos) {
      distrustedUntilNanos = nowNanos + recoveryNanos;
      silent.clear();
    }
    started = true;
    lastTickNanos = nowNanos;
  }

  void failed(String vm) {
    silent.add(vm);
  }

  void answered(String vm) {
    silent.remove(vm);
  }

  /**
   * Tells whether accusations are trustworthy now.
   *
   * @param nowNanos monotonic time
   * @param subjects members that this process observes
   * @return false after a pause, or while more than half of the subjects are silent
   */
  boolean isTrusted(long nowNanos, Collection<String> subjects) {
    silent.retainAll(subjects);
    boolean recovering = distrustedUntilNanos != 0 && nowNanos - distrustedUntilNanos < 0;
    return !recovering && silent.size() * 2 <= subjects.size();
  }

  Set<String> silent() {
    return Set.copyOf(silent);
  }
}
