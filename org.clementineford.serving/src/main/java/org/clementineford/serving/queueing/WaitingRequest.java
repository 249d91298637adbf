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
 * @param priority priority of its client account or route, 0 is served first
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
    double costMs) {}
