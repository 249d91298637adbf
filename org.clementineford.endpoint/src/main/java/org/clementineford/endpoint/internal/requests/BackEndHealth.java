package org.clementineford.endpoint.internal.requests;

import java.util.concurrent.TimeUnit;

/**
 * Health of one server of a back end. A refused connection marks it down at once; other failures
 * mark it down after three in a row. The interval between probes doubles up to a limit.
 */
final class BackEndHealth {
  private static final int FAILURES_UNTIL_DOWN = 3;
  private static final long INITIAL_PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long MAX_PROBE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

  private int failures;
  private boolean down;
  private long probeIntervalNanos;
  private long nextProbeNanos;

  synchronized boolean isDown() {
    return down;
  }

  /** Records a failure; returns true if it marks the server down. */
  synchronized boolean recordFailure(boolean connectionRefused, long nowNanos) {
    failures++;
    if (down || (!connectionRefused && failures < FAILURES_UNTIL_DOWN)) {
      return false;
    }
    down = true;
    probeIntervalNanos = INITIAL_PROBE_INTERVAL_NANOS;
    nextProbeNanos = nowNanos + probeIntervalNanos;
    return true;
  }

  /** Records a successful answer; returns true if the server was marked down before. */
  synchronized boolean recordSuccess() {
    boolean wasDown = down;
    failures = 0;
    down = false;
    return wasDown;
  }

  /** Returns whether a probe is due; if so, schedules the next one. */
  synchronized boolean startProbeIfDue(long nowNanos) {
    if (!down || nowNanos - nextProbeNanos < 0) {
      return false;
    }
    probeIntervalNanos = Math.min(2 * probeIntervalNanos, MAX_PROBE_INTERVAL_NANOS);
    nextProbeNanos = nowNanos + probeIntervalNanos;
    return true;
  }
}
