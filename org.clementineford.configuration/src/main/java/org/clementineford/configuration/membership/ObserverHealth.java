package org.clementineford.configuration.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

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
  private final long confirmationNanos;
  private final Map<String, Long> silentSince = new HashMap<>();
  private long lastTickNanos;
  private long distrustedUntilNanos;
  private boolean started;

  /**
   * Creates the state of a healthy observer.
   *
   * @param longestTickNanos a longer time between ticks means that this process was paused
   * @param recoveryNanos time after a pause during which failed probes are not trusted
   * @param confirmationNanos time for which a member must be silent, so that all others were probed
   *     in the meantime
   */
  ObserverHealth(long longestTickNanos, long recoveryNanos, long confirmationNanos) {
    this.confirmationNanos = confirmationNanos;
    this.longestTickNanos = longestTickNanos;
    this.recoveryNanos = recoveryNanos;
  }

  void tick(long nowNanos) {
    if (started && nowNanos - lastTickNanos > longestTickNanos) {
      distrustedUntilNanos = nowNanos + recoveryNanos;
      silentSince.clear();
    }
    started = true;
    lastTickNanos = nowNanos;
  }

  void failed(String vm, long nowNanos) {
    silentSince.putIfAbsent(vm, nowNanos);
  }

  void answered(String vm) {
    silentSince.remove(vm);
  }

  /**
   * Tells whether accusations are trustworthy now.
   *
   * @param nowNanos monotonic time
   * @param subjects members that this process observes
   * @return false after a pause, or while more than half of the subjects are silent
   */
  boolean isTrusted(long nowNanos, Collection<String> subjects) {
    silentSince.keySet().retainAll(subjects);
    boolean recovering = distrustedUntilNanos != 0 && nowNanos - distrustedUntilNanos < 0;
    return !recovering && silentSince.size() * 2 <= subjects.size();
  }

  boolean isAnySilent() {
    return !silentSince.isEmpty();
  }

  Set<String> silent(long nowNanos) {
    Set<String> silent = new TreeSet<>();
    silentSince.forEach(
        (vm, since) -> {
          if (nowNanos - since >= confirmationNanos) {
            silent.add(vm);
          }
        });
    return silent;
  }
}
