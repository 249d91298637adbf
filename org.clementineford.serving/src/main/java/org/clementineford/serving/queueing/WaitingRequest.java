package org.clementineford.serving.queueing;

/**
 * A request that waits for an engine. Times are monotonic nanoseconds.
 *
 * @param <T> type of the attached object
 * @param item object that the caller of the queue attaches
 * @param arrivedAt time of its arrival
 * @param goalAt time up to which its first event meets the latency goal
 * @param deadlineAt time at which its caller gives up, if it has received something before
 * @param leavesAt time at which its caller leaves if it has received nothing; at most the deadline
 * @param priority priority of its client account or route, 0 is served first of those that have not
 *     begun
 * @param account name of its client account; empty for none
 * @param costMs engine time that it needs, in milliseconds
 */
public record WaitingRequest<T>(
    T item,
    long arrivedAt,
    long goalAt,
    long deadlineAt,
    long leavesAt,
    int priority,
    String account,
    double costMs) {
  private static final int BEFORE_ALL_PRIORITIES = -1;

  /**
   * Returns a stream that waits to be continued. It goes before requests that have not begun, and
   * waits until its caller leaves.
   *
   * @param <T> type of the attached object
   * @param item object that the caller of the queue attaches
   * @param arrivedAt time of its arrival
   * @param deadlineAt time at which its caller gives up
   * @param leavesAt time at which its caller leaves if it receives nothing more
   * @param costMs engine time that it needs, in milliseconds
   * @return the waiting stream
   */
  public static <T> WaitingRequest<T> startedStream(
      T item, long arrivedAt, long deadlineAt, long leavesAt, double costMs) {
    return new WaitingRequest<>(
        item, arrivedAt, deadlineAt, deadlineAt, leavesAt, BEFORE_ALL_PRIORITIES, "", costMs);
  }
}
