package org.clementineford.requests.admission;

import java.util.ArrayDeque;

/** Waiting requests and start tag of one client account; guarded by the lock of the fair queue. */
final class AccountQueue<T> {
  private final ArrayDeque<QueuedRequest<T>> urgent = new ArrayDeque<>();
  private final ArrayDeque<QueuedRequest<T>> normal = new ArrayDeque<>();
  private int weight;
  private double startTag;
  private double lastAddedAt = Double.NEGATIVE_INFINITY;
  private long servedCost;

  AccountQueue(int weight) {
    this.weight = weight;
  }

  int weight() {
    return weight;
  }

  void setWeight(int weight) {
    this.weight = weight;
  }

  /** Returns the start tag of the next request, which is the finish tag of the previous one. */
  double startTag() {
    return startTag;
  }

  long servedCost() {
    return servedCost;
  }

  int size() {
    return urgent.size() + normal.size();
  }

  boolean isWaiting() {
    return size() > 0;
  }

  boolean hasUrgent() {
    return !urgent.isEmpty();
  }

  void add(QueuedRequest<T> request, double virtualTime, double burstCredit) {
    if (!isWaiting()) {
      startTag = Math.max(startTag, virtualTime - burstCredit / weight);
    }
    lastAddedAt = virtualTime;
    queue(request).addLast(request);
  }

  /** Returns whether the account has used less than its share so far. */
  boolean isBelowShare(double virtualTime) {
    return startTag < virtualTime;
  }

  /** Returns whether the account is below its share and offered a request recently. */
  boolean isActiveBelowShare(double virtualTime, double burstCredit) {
    return isBelowShare(virtualTime) && (virtualTime - lastAddedAt) * weight <= burstCredit;
  }

  void remove(QueuedRequest<T> request) {
    queue(request).remove(request);
  }

  private ArrayDeque<QueuedRequest<T>> queue(QueuedRequest<T> request) {
    return request.urgent() ? urgent : normal;
  }

  QueuedRequest<T> takeNext() {
    QueuedRequest<T> next = urgent.isEmpty() ? normal.pollFirst() : urgent.pollFirst();
    charge(next.estimatedCost());
    return next;
  }

  /** Charges the difference between the actual and the estimated cost. */
  void adjustCost(long difference) {
    charge(difference);
  }

  private void charge(long cost) {
    startTag += (double) cost / weight;
    servedCost += cost;
  }
}
