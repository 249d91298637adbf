package org.clementineford.requests.admission;

/**
 * A request that waits for a back end or runs on it. Requests are compared by identity.
 *
 * @param <T> type of the work that the caller attaches
 */
public final class QueuedRequest<T> {
  private final String clientAccount;
  private final boolean urgent;
  private final long estimatedCost;
  private final long deadlineNanos;
  private final T work;
  private long sequence;

  /**
   * Creates a request.
   *
   * @param clientAccount account that is charged
   * @param urgent true if it precedes the other requests of its account
   * @param estimatedCost expected cost in tokens; a value below 1 counts as 1, so that requests
   *     without cost cannot starve the others
   * @param deadlineNanos monotonic time from which the request must not start, in nanoseconds
   * @param work work that the caller attaches
   */
  public QueuedRequest(
      String clientAccount, boolean urgent, long estimatedCost, long deadlineNanos, T work) {
    this.clientAccount = clientAccount;
    this.urgent = urgent;
    this.estimatedCost = Math.max(1, estimatedCost);
    this.deadlineNanos = deadlineNanos;
    this.work = work;
  }

  /**
   * Returns the account that is charged.
   *
   * @return name of the client account
   */
  public String clientAccount() {
    return clientAccount;
  }

  /**
   * Returns whether the request precedes the other requests of its account.
   *
   * @return true if urgent
   */
  public boolean urgent() {
    return urgent;
  }

  /**
   * Returns the expected cost.
   *
   * @return tokens, 1 or more
   */
  public long estimatedCost() {
    return estimatedCost;
  }

  /**
   * Returns the time from which the request must not start.
   *
   * @return nanoseconds on the monotonic clock
   */
  public long deadlineNanos() {
    return deadlineNanos;
  }

  /**
   * Returns the work that the caller attached.
   *
   * @return the work
   */
  public T work() {
    return work;
  }

  long sequence() {
    return sequence;
  }

  void setSequence(long sequence) {
    this.sequence = sequence;
  }
}
