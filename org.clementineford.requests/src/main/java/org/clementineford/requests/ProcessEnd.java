package org.clementineford.requests;

/**
 * Time at which this process ends its requests because it stops. Unknown until a stop begins.
 * Thread-safe.
 */
public final class ProcessEnd {
  private volatile Long endNanos;

  /**
   * Sets the end when a stop begins.
   *
   * @param endNanos monotonic time in nanoseconds
   */
  public void set(long endNanos) {
    this.endNanos = endNanos;
  }

  /**
   * Returns whether the process may end work with this deadline before it is done.
   *
   * @param deadlineNanos monotonic time in nanoseconds
   * @return false if no stop has begun, or if the work surely ends in time
   */
  public boolean isBefore(long deadlineNanos) {
    Long end = endNanos;
    return end != null && end - deadlineNanos < 0;
  }
}
