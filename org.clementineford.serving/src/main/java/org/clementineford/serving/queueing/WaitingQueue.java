package org.clementineford.serving.queueing;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Queue of requests that wait for a free slot of an engine, at loads above the capacity of the
 * engines.
 *
 * <p>Requests that can still meet their latency goal are served first, ordered by priority. Among
 * those of one priority, the request with the earliest goal is first. In overload, it is the newest
 * request instead, since serving the earliest goal first would make all requests miss their goals.
 * Requests that cannot meet their goal follow, by priority and then in order of arrival. A
 * first-in-first-out queue would make every request late once the wait exceeds the goal.
 *
 * @param <T> type of the object that is attached to a request
 */
public final class WaitingQueue<T> {
  /** Shortest time until its caller leaves in which a request can be answered, in nanoseconds. */
  public static final long MIN_ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /**
   * Largest wait of a request that has missed its goal, as a fraction of the time from its arrival
   * to its deadline. The caller then has enough time left to retry.
   */
  private static final double MAX_WAIT_FRACTION = 0.35;

  private final List<WaitingRequest<T>> waiting = new ArrayList<>();

  /**
   * Adds a request.
   *
   * @param request the request
   */
  public void add(WaitingRequest<T> request) {
    waiting.add(request);
  }

  /**
   * Removes a request whose caller no longer waits for the answer.
   *
   * @param item object that is attached to the request
   * @return true if it was waiting
   */
  public boolean remove(T item) {
    return waiting.removeIf(request -> request.item() == item);
  }

  /**
   * Removes and returns the request to send next.
   *
   * @param now monotonic time in nanoseconds
   * @param firstEventNanos predicted time from sending a request to its first event, in nanoseconds
   * @param overloaded true if not all waiting requests can meet their latency goal
   * @return the request; empty if none waits
   */
  public Optional<WaitingRequest<T>> poll(long now, long firstEventNanos, boolean overloaded) {
    WaitingRequest<T> best = null;
    for (WaitingRequest<T> request : waiting) {
      if (best == null || goesBefore(request, best, now + firstEventNanos, overloaded)) {
        best = request;
      }
    }
    if (best != null) {
      waiting.remove(best);
    }
    return Optional.ofNullable(best);
  }

  private boolean goesBefore(
      WaitingRequest<T> a, WaitingRequest<T> b, long firstEventAt, boolean overloaded) {
    boolean meetsA = a.goalAt() - firstEventAt >= 0;
    boolean meetsB = b.goalAt() - firstEventAt >= 0;
    if (meetsA != meetsB) {
      return meetsA;
    }
    if (a.priority() != b.priority()) {
      return a.priority() < b.priority();
    }
    if (!meetsA) {
      return a.arrivedAt() < b.arrivedAt();
    }
    return overloaded ? a.arrivedAt() > b.arrivedAt() : a.goalAt() < b.goalAt();
  }

  /**
   * Removes the requests that are not expected to be answered before their callers give up.
   *
   * @param now monotonic time in nanoseconds
   * @return the removed requests; they have not run
   */
  public List<WaitingRequest<T>> removeUnanswerable(long now) {
    List<WaitingRequest<T>> unanswerable = new ArrayList<>();
    Iterator<WaitingRequest<T>> requests = waiting.iterator();
    while (requests.hasNext()) {
      WaitingRequest<T> request = requests.next();
      boolean leavesTooSoon = request.leavesAt() - now < MIN_ANSWER_NANOS;
      if (leavesTooSoon || hasWaitedTooLong(request, now)) {
        requests.remove();
        unanswerable.add(request);
      }
    }
    return unanswerable;
  }

  /**
   * Returns whether a request has missed its goal and waited so long that it would probably wait
   * until its caller gives up, since newer requests are served before it.
   */
  private boolean hasWaitedTooLong(WaitingRequest<T> request, long now) {
    long timeToDeadline = request.deadlineAt() - request.arrivedAt();
    return now - request.goalAt() > 0
        && now - request.arrivedAt() > MAX_WAIT_FRACTION * timeToDeadline;
  }

  /**
   * Removes all requests.
   *
   * @return the removed requests, in the order in which they were added
   */
  public List<WaitingRequest<T>> removeAll() {
    List<WaitingRequest<T>> all = List.copyOf(waiting);
    waiting.clear();
    return all;
  }

  /**
   * Returns the sum of the engine times that the waiting requests need.
   *
   * @return time in milliseconds
   */
  public double costMs() {
    double sum = 0;
    for (WaitingRequest<T> request : waiting) {
      sum += request.costMs();
    }
    return sum;
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return number of requests
   */
  public int size() {
    return waiting.size();
  }
}
