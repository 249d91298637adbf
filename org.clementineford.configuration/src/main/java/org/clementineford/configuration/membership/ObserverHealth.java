package org.clementineford.configuration.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides whether failed probes of this process are reliable. If the process was paused or its own
 * link failed, many members appear unresponsive at once, and it must not accuse them.
 *
 * <p>The check of the observer's own health follows A. Dadgar, J. Phillips, J. Currey, "Lifeguard:
 * Local Health Awareness for More Accurate Failure Detection", DSN 2018.
 */
final class ObserverHealth {
  private final long maxTickNanos;
  private final long recoveryNanos;
  private final long confirmationNanos;
  private final Map<String, Long> unresponsiveSince = new HashMap<>();
  private long lastTickNanos;
  private long unreliableUntilNanos;
  private boolean started;

  /**
   * Creates the state of a healthy observer.
   *
   * @param maxTickNanos maximum time between ticks; a longer time means that this process was
   *     paused
   * @param recoveryNanos time after a pause during which failed probes are unreliable
   * @param confirmationNanos time for which a member must be unresponsive before it is reported, so
   *     that all others are probed in the meantime
   */
  ObserverHealth(long maxTickNanos, long recoveryNanos, long confirmationNanos) {
    this.confirmationNanos = confirmationNanos;
    this.maxTickNanos = maxTickNanos;
    this.recoveryNanos = recoveryNanos;
  }

  void tick(long nowNanos) {
    if (started && nowNanos - lastTickNanos > maxTickNanos) {
      unreliableUntilNanos = nowNanos + recoveryNanos;
      unresponsiveSince.clear();
    }
    started = true;
    lastTickNanos = nowNanos;
  }

  void probeFailed(String vm, long nowNanos) {
    unresponsiveSince.putIfAbsent(vm, nowNanos);
  }

  void probeAnswered(String vm) {
    unresponsiveSince.remove(vm);
  }

  /**
   * Returns whether failed probes are reliable enough for accusations.
   *
   * @param nowNanos monotonic time
   * @param subjects members that this process observes
   * @return false for the recovery time after a pause, and while more than half of the subjects are
   *     unresponsive
   */
  boolean isReliable(long nowNanos, Collection<String> subjects) {
    unresponsiveSince.keySet().retainAll(subjects);
    boolean recovering = unreliableUntilNanos != 0 && nowNanos - unreliableUntilNanos < 0;
    return !recovering && unresponsiveSince.size() * 2 <= subjects.size();
  }

  boolean isAnyUnresponsive() {
    return !unresponsiveSince.isEmpty();
  }

  Set<String> unresponsive(long nowNanos) {
    Set<String> unresponsive = new TreeSet<>();
    unresponsiveSince.forEach(
        (vm, since) -> {
          if (nowNanos - since >= confirmationNanos) {
            unresponsive.add(vm);
          }
        });
    return unresponsive;
  }
}
