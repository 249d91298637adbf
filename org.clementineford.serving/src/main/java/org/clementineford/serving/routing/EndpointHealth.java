package org.clementineford.serving.routing;

import java.util.concurrent.TimeUnit;

/**
 * Whether an endpoint should get requests, judged by the outcomes of earlier ones. An endpoint that
 * fails gets none for a while and then one trial. It answers endpoints that die silently and those
 * that fail part of their requests while their health probe is good.
 */
final class EndpointHealth {
  /** Weight of the newest outcome in the failure score. */
  private static final double SMOOTHING = 0.25;

  /** Failure score from which an endpoint is set aside; four broken answers in a row reach it. */
  private static final double FAILING_SCORE = 0.4;

  private static final long HALF_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);
  private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
  private static final long LONGEST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(8_000);

  private double score;
  private long scoredAt;
  private long pauseNanos = FIRST_PAUSE_NANOS;
  private long setAsideUntil;
  private boolean setAside;
  private boolean trialRunning;

  void sent() {
    trialRunning = setAside;
  }

  void answered(long now) {
    rescore(score(now) * (1 - SMOOTHING), now);
    trialRunning = false;
    setAside = false;
    if (score < FAILING_SCORE / 2) {
      pauseNanos = FIRST_PAUSE_NANOS;
    }
  }

  void released() {
    trialRunning = false;
  }

  void failed(AttemptOutcome outcome, long now) {
    trialRunning = false;
    if (outcome.blame() == 0) {
      return;
    }
    double before = score(now);
    rescore(before + SMOOTHING * outcome.blame() * (1 - before), now);
    if (outcome.blame() >= 1 || score >= FAILING_SCORE || setAside) {
      setAside = true;
      setAsideUntil = now + pauseNanos;
      pauseNanos = Math.min(2 * pauseNanos, LONGEST_PAUSE_NANOS);
    }
  }

  boolean isUsable(long now) {
    return !setAside || (now - setAsideUntil >= 0 && !trialRunning);
  }

  /** Tells whether the next request would show whether the endpoint works again. */
  boolean isTrialDue(long now) {
    return setAside && isUsable(now);
  }

  /** Returns the smoothed share of failures; it halves with time, as old failures say little. */
  double score(long now) {
    double halves = (now - scoredAt) / (double) HALF_LIFE_NANOS;
    return halves <= 0 ? score : score * Math.pow(0.5, halves);
  }

  private void rescore(double next, long now) {
    score = next;
    scoredAt = now;
  }
}
