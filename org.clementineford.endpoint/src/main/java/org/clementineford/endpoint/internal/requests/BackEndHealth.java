package org.clementineford.endpoint.internal.requests;

import java.util.concurrent.TimeUnit;

/**
 * Health of one server of a back end. A refused connection marks it down at once; other failures
 * mark it down after three in a row. The interval between probes doubles up to a limit.
 */
final class BackEndHealth {
  private static final int FAILURES_IN_A_ROW = 3;
  private static final long FIRST_PROBE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long SLOWEST_PROBE_NANOS = TimeUnit.SECONDS.toNanos(5);

  private int failures;
  private boolean down;
  private long backoffNanos;
  private long nextProbeNanos;

  synchronized boolean isDown() {
    return down;
  }

  /** Records a failure; returns true if it marks the server down. */
  synchronized boolean failed(boolean connectionRefused, long nowNanos) {
    failures++;
    if (down || (!connectionRefused && failures < FAILURES_IN_A_ROW)) {
      return false;
    }
    down = true;
    backoffNanos = FIRST_PROBE_NANOS;
    nextProbeNanos = nowNanos + backoffNanos;
    return true;
  }

  /** Records a successful answer; returns true if the server was marked down before. */
  synchronized boolean succeeded() {
    boolean wasDown = down;
    failures = 0;
    down = false;
    return wasDown;
  }

  /** Returns whether a probe is due; if so, schedules the next one. */
  synchronized boolean takeProbe(long nowNanos) {
    if (!down || nowNanos - nextProbeNanos < 0) {
      return false;
    }
    backoffNanos = Math.min(2 * backoffNanos, SLOWEST_PROBE_NANOS);
    nextProbeNanos = nowNanos + backoffNanos;
    return true;
  }
}
