package org.clementineford.requests.attempts;

import java.util.concurrent.TimeUnit;

/**
 * Limits retries to a share of the first attempts of the last ten seconds, plus a reserve of ten
 * per second so that a process with little traffic can also retry.
 */
public final class RetryBudget {
  private static final double WINDOW_SECONDS = 10;
  private static final double RESERVE_PER_SECOND = 10;

  private double balance = RESERVE_PER_SECOND;
  private double depositsPerSecond;
  private long lastNanos;

  /**
   * Creates a budget that contains the reserve of one second.
   *
   * @param nowNanos monotonic time in nanoseconds
   */
  public RetryBudget(long nowNanos) {
    this.lastNanos = nowNanos;
  }

  /**
   * Adds the share of a first attempt to the budget.
   *
   * @param share retries allowed per first attempt, 0 to 1
   * @param nowNanos monotonic time in nanoseconds
   */
  public synchronized void deposit(double share, long nowNanos) {
    refill(nowNanos);
    depositsPerSecond += share / WINDOW_SECONDS;
    balance += share;
  }

  /**
   * Takes one retry from the budget.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @return false if the budget is exhausted
   */
  public synchronized boolean withdraw(long nowNanos) {
    refill(nowNanos);
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }

  private void refill(long nowNanos) {
    double seconds = (nowNanos - lastNanos) / (double) TimeUnit.SECONDS.toNanos(1);
    lastNanos = nowNanos;
    depositsPerSecond *= Math.exp(-seconds / WINDOW_SECONDS);
    double limit = RESERVE_PER_SECOND + depositsPerSecond * WINDOW_SECONDS;
    balance = Math.min(limit, balance + RESERVE_PER_SECOND * seconds);
  }
}
