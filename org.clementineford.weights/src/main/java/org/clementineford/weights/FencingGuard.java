package org.clementineford.weights;

/** Rejects orders with a lower number than the highest one accepted so far. Thread-safe. */
public final class FencingGuard {
  private OrderNumber highest = OrderNumber.NONE;

  /**
   * Accepts an order unless one with a higher number was accepted before.
   *
   * @param number number of the order
   * @return true if the order is accepted
   */
  public synchronized boolean accept(OrderNumber number) {
    if (number.compareTo(highest) < 0) {
      return false;
    }
    highest = number;
    return true;
  }

  /**
   * Returns the highest accepted number.
   *
   * @return {@link OrderNumber#NONE} before the first order
   */
  public synchronized OrderNumber highest() {
    return highest;
  }
}
