package org.clementineford.serving.queueing;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Requests that wait for a free slot of an engine, for loads above what the engines can do.
 *
 * <p>Requests that can still meet their latency goal go first: the earliest goal before others, or
 * the newest request in overload, when serving the most urgent first makes all of them miss it.
 * When there are none, those that will be late follow in order of arrival. A first-in-first-out
 * queue would make every request late once the wait exceeds the goal.
 *
 * @param <T> what is attached to a request
 */
public final class WaitingQueue<T> {
  /** Shortest time in which a request can still be answered, in nanoseconds. */
  private static final long SHORTEST_ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Part of its time for which a request waits; its caller can then still try once more. */
  private static final double LONGEST_WAIT_PART = 0.35;

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
   * Removes a request whose caller left.
   *
   * @param item what the request stands for
   * @return true if it was waiting
   */
  public boolean remove(T item) {
    return waiting.removeIf(request -> request.item() == item);
  }

  /**
   * Takes the request that should be sent next.
   *
   * @param now present time
   * @param firstEventNanos predicted time from sending a request to its first event
   * @param overloaded true if not all requests can meet their goal
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
    if (a.rank() != b.rank()) {
      return a.rank() < b.rank();
    }
    if (!meetsA) {
      return a.arrivedAt() < b.arrivedAt();
    }
    return overloaded ? a.arrivedAt() > b.arrivedAt() : a.goalAt() < b.goalAt();
  }

  /**
   * Removes the requests that cannot be answered before their callers leave.
   *
   * @param now present time
   * @return the requests removed; they have not run
   */
  public List<WaitingRequest<T>> removeHopeless(long now) {
    List<WaitingRequest<T>> hopeless = new ArrayList<>();
    Iterator<WaitingRequest<T>> requests = waiting.iterator();
    while (requests.hasNext()) {
      WaitingRequest<T> request = requests.next();
      boolean tooLate = request.deadlineAt() - now < SHORTEST_ANSWER_NANOS;
      if (tooLate || hasWaitedInVain(request, now)) {
        requests.remove();
        hopeless.add(request);
      }
    }
    return hopeless;
  }

  /** A late request that newer ones passed for this long would wait until its caller leaves. */
  private boolean hasWaitedInVain(WaitingRequest<T> request, long now) {
    long time = request.deadlineAt() - request.arrivedAt();
    return now - request.goalAt() > 0 && now - request.arrivedAt() > LONGEST_WAIT_PART * time;
  }

  /**
   * Returns the engine time that all waiting requests need.
   *
   * @return milliseconds
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
