package org.clementineford.endpoint.internal.requests;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Decides when a leaving endpoint may stop. All runs must have ended, and the entry VMs must have
 * had time to learn that the endpoint leaves: a dispatch that is under way when the process ends
 * would have an unknown outcome.
 */
final class DrainGate {
  /** Entry VMs send no new work 3 s after an endpoint started to leave (design page, 1.1). */
  private static final long LONGEST_NOTICE_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Several round trips between regions, for dispatches that crossed the notice. */
  private static final long QUIET_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private int active;
  private int unconfirmedNotices;
  private boolean leaving;
  private long leavingSince;
  private long lastActivity;

  /** A run was accepted. */
  synchronized void begin(long nowNanos) {
    active++;
    lastActivity = nowNanos;
  }

  /** A run ended. */
  synchronized void end(long nowNanos) {
    active--;
    lastActivity = nowNanos;
  }

  /** The endpoint starts to leave and sends a notice to each of some entry VMs. */
  synchronized void leave(int notices, long nowNanos) {
    if (!leaving) {
      leaving = true;
      leavingSince = nowNanos;
      lastActivity = nowNanos;
      unconfirmedNotices = notices;
    }
  }

  /** An entry VM confirmed the notice, or has no connection to this endpoint. */
  synchronized void noticeConfirmed(long nowNanos) {
    unconfirmedNotices--;
    lastActivity = nowNanos;
  }

  /** Completes the future if the endpoint may stop now. */
  void check(long nowNanos) {
    if (mayStop(nowNanos)) {
      drained.complete(null);
    }
  }

  private synchronized boolean mayStop(long nowNanos) {
    boolean noticed =
        nowNanos - leavingSince >= LONGEST_NOTICE_NANOS
            || (unconfirmedNotices <= 0 && nowNanos - lastActivity >= QUIET_NANOS);
    return leaving && active == 0 && noticed;
  }

  CompletableFuture<Void> drained() {
    return drained;
  }

  synchronized int active() {
    return active;
  }
}
