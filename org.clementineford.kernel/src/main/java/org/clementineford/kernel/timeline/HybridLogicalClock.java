package org.clementineford.kernel.timeline;

import org.agrona.concurrent.EpochClock;

/**
 * A hybrid logical clock. Its readings keep the order of cause and effect between processes, even
 * if their wall clocks differ.
 *
 * <p>Source: S. Kulkarni, M. Demirbas, D. Madeppa, B. Avva, M. Leone, "Logical Physical Clocks and
 * Consistent Snapshots in Globally Distributed Databases", OPODIS 2014.
 */
public final class HybridLogicalClock {
  private final EpochClock wallClock;
  private HybridTime last = new HybridTime(0, 0);

  /**
   * Creates a clock.
   *
   * @param wallClock wall clock in milliseconds
   */
  public HybridLogicalClock(EpochClock wallClock) {
    this.wallClock = wallClock;
  }

  /**
   * Returns a reading for a local event or for a message to send.
   *
   * @return a reading later than all earlier ones of this clock
   */
  public synchronized HybridTime now() {
    long wall = wallClock.time();
    if (wall > last.physicalMs()) {
      last = new HybridTime(wall, 0);
    } else {
      last = new HybridTime(last.physicalMs(), last.logical() + 1);
    }
    return last;
  }

  /**
   * Advances the clock past the reading of a received message.
   *
   * @param received reading that the sender attached
   * @return a reading later than the received one and all earlier ones of this clock
   */
  public synchronized HybridTime receive(HybridTime received) {
    if (received.compareTo(last) > 0) {
      last = received;
    }
    return now();
  }
}
