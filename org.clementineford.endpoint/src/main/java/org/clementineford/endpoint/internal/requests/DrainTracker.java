package org.clementineford.endpoint.internal.requests;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Determines when an endpoint that leaves may stop. All runs must have ended, and the entry VMs
 * must have had time to receive the notice that the endpoint leaves: a dispatch that is in flight
 * when the process exits would have an unknown outcome.
 */
final class DrainTracker {
  /**
   * Time after which all entry VMs have stopped sending new work to an endpoint that leaves (design
   * page, 1.1).
   */
  private static final long MAX_NOTICE_NANOS = TimeUnit.SECONDS.toNanos(3);

  /**
   * Time without activity before the endpoint stops; several round trips between regions, so that
   * dispatches that were sent before the notice was received still arrive.
   */
  private static final long QUIET_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private final Set<Run> runs = new HashSet<>();
  private int unconfirmedNotices;
  private boolean leaving;
  private long leavingSince;
  private long lastActivity;

  /** Counts a run that is being admitted. */
  synchronized void runStarted(Run run, long nowNanos) {
    runs.add(run);
    lastActivity = nowNanos;
  }

  /** Removes a run that has ended or was not admitted. */
  synchronized void runEnded(Run run, long nowNanos) {
    runs.remove(run);
    lastActivity = nowNanos;
  }

  /** Starts the drain; {@code notices} entry VMs are sent a notice. */
  synchronized void startDrain(int notices, long nowNanos) {
    if (!leaving) {
      leaving = true;
      leavingSince = nowNanos;
      lastActivity = nowNanos;
      unconfirmedNotices = notices;
    }
  }

  /** Records that an entry VM confirmed the notice or cannot be reached from this endpoint. */
  synchronized void noticeConfirmed(long nowNanos) {
    unconfirmedNotices--;
    lastActivity = nowNanos;
  }

  /** Completes the future of {@link #drained} if the endpoint may stop now. */
  void completeIfDrained(long nowNanos) {
    if (mayStop(nowNanos)) {
      drained.complete(null);
    }
  }

  private synchronized boolean mayStop(long nowNanos) {
    boolean noticed =
        nowNanos - leavingSince >= MAX_NOTICE_NANOS
            || (unconfirmedNotices <= 0 && nowNanos - lastActivity >= QUIET_PERIOD_NANOS);
    return leaving && runs.isEmpty() && noticed;
  }

  CompletableFuture<Void> drained() {
    return drained;
  }

  synchronized List<Run> active() {
    return List.copyOf(runs);
  }
}
