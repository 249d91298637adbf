package org.clementineford.serving.routing;

import java.util.concurrent.TimeUnit;

/**
 * Decides from the outcomes of earlier requests whether an endpoint may receive requests. A failing
 * endpoint is suspended for some time and then receives one trial request. This detects endpoints
 * that stop without notice, and endpoints that fail some of their requests while their health probe
 * succeeds.
 */
final class EndpointHealth {
  /** Weight of the newest outcome in the failure score. */
  private static final double SMOOTHING = 0.25;

  /** Failure score at which an endpoint is suspended; four broken answers in a row reach it. */
  private static final double SUSPENSION_SCORE = 0.4;

  private static final long SCORE_HALF_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);
  private static final long INITIAL_SUSPENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
  private static final long MAX_SUSPENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(8_000);

  private double score;
  private long scoredAt;
  private long suspensionNanos = INITIAL_SUSPENSION_NANOS;
  private long suspendedUntil;
  private boolean suspended;
  private boolean trialRunning;

  void sent() {
    trialRunning = suspended;
  }

  void answered(long now) {
    setScore(score(now) * (1 - SMOOTHING), now);
    trialRunning = false;
    suspended = false;
    if (score < SUSPENSION_SCORE / 2) {
      suspensionNanos = INITIAL_SUSPENSION_NANOS;
    }
  }

  void released() {
    trialRunning = false;
  }

  void failed(AttemptOutcome outcome, long now) {
    trialRunning = false;
    if (outcome.failureWeight() == 0) {
      return;
    }
    double before = score(now);
    setScore(before + SMOOTHING * outcome.failureWeight() * (1 - before), now);
    if (outcome.failureWeight() >= 1 || score >= SUSPENSION_SCORE || suspended) {
      suspended = true;
      suspendedUntil = now + suspensionNanos;
      suspensionNanos = Math.min(2 * suspensionNanos, MAX_SUSPENSION_NANOS);
    }
  }

  boolean isUsable(long now) {
    return !suspended || (now - suspendedUntil >= 0 && !trialRunning);
  }

  /** Returns whether the next request would be the trial request after a suspension. */
  boolean isTrialDue(long now) {
    return suspended && isUsable(now);
  }

  /**
   * Returns the smoothed share of failures. It decays with a half-life, since old failures are weak
   * evidence of the present state.
   */
  double score(long now) {
    double halfLives = (now - scoredAt) / (double) SCORE_HALF_LIFE_NANOS;
    return halfLives <= 0 ? score : score * Math.pow(0.5, halfLives);
  }

  private void setScore(double next, long now) {
    score = next;
    scoredAt = now;
  }
}
