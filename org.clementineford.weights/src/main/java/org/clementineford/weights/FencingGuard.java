package org.clementineford.weights;

/** Remembers the highest number of an order and rejects lower ones. Safe for several threads. */
public final class FencingGuard {
  private OrderNumber highest = OrderNumber.NONE;

  /**
   * Checks an order.
   *
   * @param number number of the order
   * @return true if no order with a higher number was accepted before
   */
  public synchronized boolean accept(OrderNumber number) {
    if (number.compareTo(highest) < 0) {
      return false;
    }
    highest = number;
    return true;
  }

  /**
   * Returns the highest number accepted.
   *
   * @return {@link OrderNumber#NONE} before the first order
   */
  public synchronized OrderNumber highest() {
    return highest;
  }
}
