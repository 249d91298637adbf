package org.clementineford.weights;

/** Bounds how many chunks a VM sends at a time. Safe for use by several threads. */
public final class UploadSlots {
  private final int slots;
  private int used;

  /**
   * Creates free slots.
   *
   * @param slots chunks that may be sent at a time, at least 1
   */
  public UploadSlots(int slots) {
    this.slots = slots;
  }

  /**
   * Takes a slot.
   *
   * @return false if all are taken
   */
  public synchronized boolean take() {
    if (used >= slots) {
      return false;
    }
    used++;
    return true;
  }

  /** Gives a slot back. */
  public synchronized void release() {
    used--;
  }

  /**
   * Returns how many slots are taken.
   *
   * @return from 0 to the number of slots
   */
  public synchronized int used() {
    return used;
  }
}
