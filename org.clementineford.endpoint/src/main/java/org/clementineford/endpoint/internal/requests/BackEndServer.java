package org.clementineford.endpoint.internal.requests;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.clementineford.kernel.HostPort;

/** One server process of a back end; a model may run on several engines of the VM. */
final class BackEndServer {
  private final HostPort address;
  private final BackEndHealth health = new BackEndHealth();
  private final Set<Run> runs = new LinkedHashSet<>();
  private final Set<Run> givenUp = new HashSet<>();
  private int slots;

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
    return usableSlots() - runs.size();
  }

  synchronized void occupySlot(Run run) {
    runs.add(run);
  }

  synchronized void releaseSlot(Run run) {
    runs.remove(run);
  }

  /** Returns the runs that occupy a slot and are not being given up yet, earliest first. */
  synchronized List<Run> startGivingUp() {
    return runs.stream().filter(givenUp::add).toList();
  }

  synchronized void endGivingUp(Run run) {
    givenUp.remove(run);
  }
}
