package org.clementineford.serving.queueing;

/**
 * A request that waits for an engine. Times are monotonic nanoseconds.
 *
 * @param <T> what the caller of the queue attaches
 * @param item what the request stands for
 * @param arrivedAt when it arrived
 * @param goalAt until when its first event is worth most
 * @param deadlineAt when its caller leaves
 * @param rank rank of its route or client account, 0 first
 * @param account its client account; empty for none
 * @param costMs engine time that it takes, in milliseconds
 */
public record WaitingRequest<T>(
    T item,
    long arrivedAt,
    long goalAt,
    long deadlineAt,
    int rank,
    String account,
    double costMs) {}
