package org.clementineford.endpoint.internal.requests;

import org.clementineford.kernel.HostPort;

/** One server process of a back end; a model may run on several engines of the VM. */
final class BackEndServer {
  private final HostPort address;
  private final BackEndHealth health = new BackEndHealth();
  private int slots;
  private int running;

  BackEndServer(HostPort address, int slots) {
    this.address = address;
    this.slots = slots;
  }

  HostPort address() {
    return address;
  }

  BackEndHealth health() {
    return health;
  }

  /** Returns the number of slots, or 0 while the server is down. */
  synchronized int usableSlots() {
    return health.isDown() ? 0 : slots;
  }

  synchronized void setSlots(int slots) {
    this.slots = slots;
  }

  synchronized int freeSlots() {
    return usableSlots() - running;
  }

  synchronized void occupySlot() {
    running++;
  }

  synchronized void releaseSlot() {
    running--;
  }
}
