package org.clementineford.requests.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/**
 * Weighted fair queue of one back end, which shares its slots among the client accounts.
 *
 * <p>Algorithm: P. Goyal, H. Vin, H. Cheng, "Start-Time Fair Queueing: A Scheduling Algorithm for
 * Integrated Services Packet Switching Networks", IEEE/ACM Transactions on Networking 5(5), 1997;
 * extended to several slots: W. Jin, J. Chase, J. Kaur, "Interposed Proportional Sharing for a
 * Storage Service Utility", SIGMETRICS 2004. The account with the lowest start tag is served next,
 * and the virtual time advances to that tag. A request is charged its estimated cost when it starts
 * and the difference to the actual cost when it ends.
 *
 * <p>An account that uses less than its share earns a limited burst credit: its start tag may lag
 * behind the virtual time by a bounded amount. Without this credit, a fully loaded engine delays
 * bursts of accounts that are well below their share. A similar warp of virtual time is described
 * in K. Duda, D. Cheriton, "Borrowed-Virtual-Time Scheduling", SOSP 1999.
 *
 * <p>One slot in eight is reserved for accounts below their share while such accounts are active,
 * so that their requests need not wait until a long request of an account above its share ends.
 *
 * <p>Urgent requests precede the other requests of their account. They may also precede those of
 * other accounts by borrowing a turn. Borrowed turns get at most half of the cost that is started,
 * and the debt by which an account exceeds its share is bounded, so its long-term share is the
 * same.
 *
 * @param <T> type of the work that callers attach to requests
 */
public final class FairQueue<T> {
  /** Number of requests over which the mean cost is smoothed. */
  private static final int MEAN_COST_WINDOW = 256;

  /** One slot in this many is reserved for active accounts below their share. */
  private static final int RESERVED_SLOT_DIVISOR = 8;

  private final FairQueueLimits limits;
  private final ToIntFunction<String> weights;
  private final Map<String, AccountQueue<T>> accounts = new HashMap<>();
  private final TreeSet<QueuedRequest<T>> waiting =
      new TreeSet<>(
          Comparator.comparingLong((QueuedRequest<T> request) -> request.deadlineNanos())
              .thenComparingLong(QueuedRequest::sequence));
  private int slots;
  private int running;
  private long lastSequence;
  private long queuedCost;
  private double virtualTime;
  private long borrowAllowance;
  private double meanCost;

  /**
   * Creates an empty queue.
   *
   * @param limits limits of the queue
   * @param slots number of requests that may run at a time
   * @param weights returns the weight of an account in the configuration in force
   */
  public FairQueue(FairQueueLimits limits, int slots, ToIntFunction<String> weights) {
    this.limits = limits;
    this.slots = slots;
    this.weights = weights;
  }

  /**
   * Adds a request.
   *
   * @param request a request that has not been added before
   * @return false if the queue of its account is full
   */
  public synchronized boolean offer(QueuedRequest<T> request) {
    AccountQueue<T> account = accounts.computeIfAbsent(request.clientAccount(), this::newAccount);
    if (account.size() >= limits.queuedPerAccount()) {
      return false;
    }
    account.add(request, virtualTime, limits.burstCreditRounds() * roundCost());
    request.setSequence(++lastSequence);
    meanCost += (request.estimatedCost() - meanCost) / Math.min(lastSequence, MEAN_COST_WINDOW);
    waiting.add(request);
    queuedCost += request.estimatedCost();
    return true;
  }

  /** Returns the mean cost of the requests that fill all slots, in tokens. */
  private double roundCost() {
    return slots * meanCost;
  }

  private AccountQueue<T> newAccount(String name) {
    return new AccountQueue<>(weightOf(name));
  }

  private int weightOf(String name) {
    return Math.max(1, weights.applyAsInt(name));
  }

  /**
   * Removes the request that runs next; it occupies a slot until {@link #finish}. Call {@link
   * #expire} first, so that no request past its deadline is returned.
   *
   * @return the request, or null if no slot is free or no request is waiting
   */
  public synchronized QueuedRequest<T> poll() {
    if (running >= slots || waiting.isEmpty()) {
      return null;
    }
    AccountQueue<T> account = lowestStartTag(false);
    AccountQueue<T> borrower = borrower(account);
    if (borrower == null
        && running >= slots - slots / RESERVED_SLOT_DIVISOR
        && isExcludedFromReservedSlots(account)) {
      return null;
    }
    QueuedRequest<T> request;
    if (borrower == null) {
      virtualTime = Math.max(virtualTime, account.startTag());
      request = account.takeNext();
      // Unused allowance does not accumulate, so that borrowed turns are limited to half of the
      // cost at any time.
      borrowAllowance = Math.min(0, borrowAllowance) + request.estimatedCost();
    } else {
      request = borrower.takeNext();
      borrowAllowance -= request.estimatedCost();
    }
    removeWaiting(request);
    running++;
    return request;
  }

  private boolean isExcludedFromReservedSlots(AccountQueue<T> account) {
    if (account.isBelowShare(virtualTime)) {
      return false;
    }
    double credit = limits.burstCreditRounds() * roundCost();
    for (AccountQueue<T> other : accounts.values()) {
      if (other != account && other.isActiveBelowShare(virtualTime, credit)) {
        return true;
      }
    }
    return false;
  }

  private AccountQueue<T> borrower(AccountQueue<T> entitled) {
    if (borrowAllowance <= 0) {
      return null;
    }
    AccountQueue<T> borrower = lowestStartTag(true);
    if (borrower == null || borrower == entitled) {
      return null;
    }
    double debt = (borrower.startTag() - virtualTime) * borrower.weight();
    return debt <= limits.borrowedRounds() * roundCost() ? borrower : null;
  }

  private AccountQueue<T> lowestStartTag(boolean urgentOnly) {
    AccountQueue<T> first = null;
    for (AccountQueue<T> account : accounts.values()) {
      boolean eligible = urgentOnly ? account.hasUrgent() : account.isWaiting();
      if (eligible && (first == null || account.startTag() < first.startTag())) {
        first = account;
      }
    }
    return first;
  }

  /**
   * Frees the slot of a request and charges its account with the actual cost.
   *
   * @param request a request that {@link #poll} returned
   * @param actualCost actual cost in tokens
   */
  public synchronized void finish(QueuedRequest<T> request, long actualCost) {
    running--;
    accounts.get(request.clientAccount()).adjustCost(actualCost - request.estimatedCost());
    if (running == 0 && waiting.isEmpty()) {
      // Capacity that was spare in this busy period must not count against an account in the next.
      for (AccountQueue<T> account : accounts.values()) {
        virtualTime = Math.max(virtualTime, account.startTag());
      }
    }
  }

  /**
   * Removes a waiting request.
   *
   * @param request the request
   * @return false if it is no longer waiting
   */
  public synchronized boolean remove(QueuedRequest<T> request) {
    if (!waiting.contains(request)) {
      return false;
    }
    accounts.get(request.clientAccount()).remove(request);
    removeWaiting(request);
    return true;
  }

  private void removeWaiting(QueuedRequest<T> request) {
    waiting.remove(request);
    queuedCost -= request.estimatedCost();
  }

  /**
   * Removes the waiting requests whose deadline has been reached.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @return the requests, earliest deadline first
   */
  public synchronized List<QueuedRequest<T>> expire(long nowNanos) {
    List<QueuedRequest<T>> expired = new ArrayList<>();
    while (!waiting.isEmpty() && waiting.first().deadlineNanos() - nowNanos <= 0) {
      QueuedRequest<T> request = waiting.first();
      remove(request);
      expired.add(request);
    }
    return expired;
  }

  /**
   * Removes the waiting requests whose deadline is later than a time.
   *
   * @param nanos monotonic time in nanoseconds
   * @return the requests, earliest deadline first
   */
  public synchronized List<QueuedRequest<T>> removeLaterThan(long nanos) {
    List<QueuedRequest<T>> later =
        waiting.stream().filter(request -> request.deadlineNanos() - nanos > 0).toList();
    later.forEach(this::remove);
    return later;
  }

  /**
   * Returns the earliest deadline of a waiting request.
   *
   * @return nanoseconds on the monotonic clock, or empty if no request is waiting
   */
  public synchronized OptionalLong earliestDeadline() {
    return waiting.isEmpty()
        ? OptionalLong.empty()
        : OptionalLong.of(waiting.first().deadlineNanos());
  }

  /** Applies the weights that are in force to requests that start from now on. */
  public synchronized void refreshWeights() {
    accounts.forEach((name, account) -> account.setWeight(weightOf(name)));
  }

  /**
   * Sets how many requests may run at a time; requests that are already running continue.
   *
   * @param slots number of requests, 0 or more
   */
  public synchronized void setSlots(int slots) {
    this.slots = slots;
  }

  /**
   * Returns counts for load reports.
   *
   * @return the current counts
   */
  public synchronized Depth depth() {
    return new Depth(running, waiting.size(), queuedCost, slots);
  }

  /**
   * Returns the total cost charged to an account.
   *
   * @param clientAccount name of the account
   * @return cost in tokens
   */
  public synchronized long servedCost(String clientAccount) {
    AccountQueue<T> account = accounts.get(clientAccount);
    return account == null ? 0 : account.servedCost();
  }

  /**
   * Numbers of requests in a queue, and their cost.
   *
   * @param running number of requests that occupy a slot
   * @param queued number of waiting requests
   * @param queuedCost estimated cost of the waiting requests, in tokens
   * @param slots number of requests that may run at a time
   */
  public record Depth(int running, int queued, long queuedCost, int slots) {}
}
