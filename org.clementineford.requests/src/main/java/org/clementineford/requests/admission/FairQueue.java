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
 * Weighted fair queue of one back end over client accounts, with a number of slots.
 *
 * <p>Source: P. Goyal, H. Vin, H. Cheng, "Start-Time Fair Queueing: A Scheduling Algorithm for
 * Integrated Services Packet Switching Networks", IEEE/ACM Transactions on Networking 5(5), 1997;
 * with several slots: W. Jin, J. Chase, J. Kaur, "Interposed Proportional Sharing for a Storage
 * Service Utility", SIGMETRICS 2004. The account with the lowest start tag runs next; the virtual
 * time is its start tag. The cost is estimated at the start and corrected at the end.
 *
 * <p>An account that offers less than its share saves some of it for a later burst: its start tag
 * may stay behind the virtual time by a bounded amount. Without this a full engine delays bursts of
 * accounts that are well below their share. A similar warp of virtual time is described in K. Duda,
 * D. Cheriton, "Borrowed-Virtual-Time Scheduling", SOSP 1999.
 *
 * <p>One slot in eight is kept free for accounts below their share while such accounts are active,
 * so that their requests do not wait for the end of a long request of an account above its share.
 *
 * <p>Urgent requests go before the others of their account. An urgent request may also go before
 * other accounts. Such borrowed turns get at most half of the cost that starts, and an account may
 * run ahead of its share by a bounded debt only, so its share over a longer time stays the same.
 *
 * @param <T> type of the work attached to requests
 */
public final class FairQueue<T> {
  /** Requests over which the mean cost is smoothed. */
  private static final int COSTS_IN_MEAN = 256;

  /** One slot in so many is kept for accounts below their share while such accounts are active. */
  private static final int RESERVED_PART = 8;

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
   * @param limits limits
   * @param slots requests that may run at a time
   * @param weights weight of an account in the configuration in force
   */
  public FairQueue(FairQueueLimits limits, int slots, ToIntFunction<String> weights) {
    this.limits = limits;
    this.slots = slots;
    this.weights = weights;
  }

  /**
   * Adds a request.
   *
   * @param request a request that was not added before
   * @return false if the queue of its account is full
   */
  public synchronized boolean offer(QueuedRequest<T> request) {
    AccountQueue<T> account = accounts.computeIfAbsent(request.clientAccount(), this::newAccount);
    if (account.size() >= limits.queuedPerAccount()) {
      return false;
    }
    account.add(request, virtualTime, limits.savedRounds() * round());
    request.setSequence(++lastSequence);
    meanCost += (request.estimatedCost() - meanCost) / Math.min(lastSequence, COSTS_IN_MEAN);
    waiting.add(request);
    queuedCost += request.estimatedCost();
    return true;
  }

  /** Cost that all slots run at a time, in tokens. */
  private double round() {
    return slots * meanCost;
  }

  private AccountQueue<T> newAccount(String name) {
    return new AccountQueue<>(weightOf(name));
  }

  private int weightOf(String name) {
    return Math.max(1, weights.applyAsInt(name));
  }

  /**
   * Takes the request that runs next and occupies a slot until {@link #finish}. Call {@link
   * #expire} first, so that no request past its deadline is taken.
   *
   * @return the request, or null if no slot is free or nothing waits
   */
  public synchronized QueuedRequest<T> poll() {
    if (running >= slots || waiting.isEmpty()) {
      return null;
    }
    AccountQueue<T> account = lowestStartTag(false);
    AccountQueue<T> borrower = borrower(account);
    if (borrower == null && running >= slots - slots / RESERVED_PART && isReservedFrom(account)) {
      return null;
    }
    QueuedRequest<T> request;
    if (borrower == null) {
      virtualTime = Math.max(virtualTime, account.startTag());
      request = account.takeNext();
      // Nothing is saved up, so borrowed turns stay at half of the cost at any time.
      borrowAllowance = Math.min(0, borrowAllowance) + request.estimatedCost();
    } else {
      request = borrower.takeNext();
      borrowAllowance -= request.estimatedCost();
    }
    forget(request);
    running++;
    return request;
  }

  private boolean isReservedFrom(AccountQueue<T> account) {
    if (account.isBelowShare(virtualTime)) {
      return false;
    }
    double saved = limits.savedRounds() * round();
    for (AccountQueue<T> other : accounts.values()) {
      if (other != account && other.isLightlyActive(virtualTime, saved)) {
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
    return debt <= limits.borrowedRounds() * round() ? borrower : null;
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
    accounts.get(request.clientAccount()).correct(actualCost - request.estimatedCost());
    if (running == 0 && waiting.isEmpty()) {
      // In the next busy period no account is charged for capacity that was spare in this one.
      for (AccountQueue<T> account : accounts.values()) {
        virtualTime = Math.max(virtualTime, account.startTag());
      }
    }
  }

  /**
   * Removes a waiting request.
   *
   * @param request the request
   * @return false if it does not wait any more
   */
  public synchronized boolean remove(QueuedRequest<T> request) {
    if (!waiting.contains(request)) {
      return false;
    }
    accounts.get(request.clientAccount()).remove(request);
    forget(request);
    return true;
  }

  private void forget(QueuedRequest<T> request) {
    waiting.remove(request);
    queuedCost -= request.estimatedCost();
  }

  /**
   * Removes the waiting requests whose deadline has come.
   *
   * @param nowNanos monotonic clock
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
   * Returns the earliest deadline of a waiting request.
   *
   * @return nanoseconds on the monotonic clock, or empty if nothing waits
   */
  public synchronized OptionalLong earliestDeadline() {
    return waiting.isEmpty()
        ? OptionalLong.empty()
        : OptionalLong.of(waiting.first().deadlineNanos());
  }

  /** Applies the weights now in force to requests that start from now on. */
  public synchronized void refreshWeights() {
    accounts.forEach((name, account) -> account.setWeight(weightOf(name)));
  }

  /**
   * Sets how many requests may run at a time; those that run already go on.
   *
   * @param slots 0 or more
   */
  public synchronized void setSlots(int slots) {
    this.slots = slots;
  }

  /**
   * Returns counts for load reports.
   *
   * @return the counts at this moment
   */
  public synchronized Depth depth() {
    return new Depth(running, waiting.size(), queuedCost, slots);
  }

  /**
   * Returns the cost that was charged to an account so far.
   *
   * @param clientAccount name of the account
   * @return tokens
   */
  public synchronized long servedCost(String clientAccount) {
    AccountQueue<T> account = accounts.get(clientAccount);
    return account == null ? 0 : account.servedCost();
  }

  /**
   * Counts of a queue.
   *
   * @param running requests that occupy a slot
   * @param queued requests that wait
   * @param queuedCost estimated cost of those that wait, in tokens
   * @param slots requests that may run at a time
   */
  public record Depth(int running, int queued, long queuedCost, int slots) {}
}
