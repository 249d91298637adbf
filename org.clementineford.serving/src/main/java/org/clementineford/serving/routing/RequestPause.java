package org.clementineford.serving.routing;

import java.util.concurrent.TimeUnit;

/**
 * A pause that an endpoint asked this entry VM for. After it, requests return step by step, so that
 * those that waited do not all arrive at once. Not thread-safe; times are monotonic nanoseconds.
 */
public final class RequestPause {
  /** Longest pause in seconds: a day, above which a number is taken for a mistake. */
  static final double MAX_SECONDS = 86_400;

  /** Time after a pause in which the number of requests at the endpoint is bounded. */
  private static final long RETURN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** Time after which one more request may be at the endpoint. */
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private boolean begun;
  private long until;

  /** Creates a pause that has not begun. */
  public RequestPause() {}

  /**
   * Begins a pause, or replaces the one that runs: the last statement of the endpoint counts.
   *
   * @param seconds length in seconds; none if not positive, at most a day
   * @param now present time
   */
  public void begin(double seconds, long now) {
    begun = seconds > 0;
    until = now + (long) (Math.min(seconds, MAX_SECONDS) * TimeUnit.SECONDS.toNanos(1));
  }

  /**
   * Returns the rest of the pause.
   *
   * @param now present time
   * @return nanoseconds; 0 if the endpoint may get requests
   */
  public long waitNanos(long now) {
    return begun ? Math.max(0, until - now) : 0;
  }

  /**
   * Returns whether another request may be sent.
   *
   * @param outstanding requests of this entry VM at the endpoint
   * @param now present time
   * @return false during the pause, and while too many requests have returned after it
   */
  boolean allows(int outstanding, long now) {
    if (!begun) {
      return true;
    }
    long since = now - until;
    if (since >= RETURN_NANOS) {
      begun = false;
      return true;
    }
    return since >= 0 && outstanding <= since / STEP_NANOS;
  }
}
