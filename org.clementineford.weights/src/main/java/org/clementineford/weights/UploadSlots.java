package org.clementineford.weights;

/** Limit on the number of chunks that a VM sends concurrently. Thread-safe. */
public final class UploadSlots {
  private final int slots;
  private int used;

  /**
   * Creates the slots, all of them free.
   *
   * @param slots maximum number of concurrent uploads, at least 1
   */
  public UploadSlots(int slots) {
    this.slots = slots;
  }

  /**
   * Acquires a slot if one is free.
   *
   * @return false if all slots are in use
   */
  public synchronized boolean tryAcquire() {
    if (used >= slots) {
      return false;
    }
    used++;
    return true;
  }

  /** Releases a slot. */
  public synchronized void release() {
    used--;
  }

  /**
   * Returns the number of slots in use.
   *
   * @return from 0 to the number of slots
   */
  public synchronized int used() {
    return used;
  }
}
