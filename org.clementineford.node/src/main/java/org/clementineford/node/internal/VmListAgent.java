package org.clementineford.node.internal;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.platform.VmList;

/**
 * Reads the platform's VM list while this process is one of the watchers. The list lags, so it only
 * adds addresses to contact and VMs that leave; it never removes a member.
 */
public final class VmListAgent {
  // Leaves 1 s of the 3 s in which a leaving VM must stop to get work for the spread to all
  // members.
  private static final long PERIOD_MS = 2000;

  private final VmList list;
  private final MembershipAgent membership;
  private final Scheduler scheduler;
  private final BooleanSupplier watcher;
  private Scheduler.Cancellable ticking = () -> {};
  private volatile boolean reading;

  /**
   * Creates an agent.
   *
   * @param list the platform's VM list
   * @param membership takes the entries
   * @param scheduler timers
   * @param watcher tells whether this process should read now
   */
  public VmListAgent(
      VmList list, MembershipAgent membership, Scheduler scheduler, BooleanSupplier watcher) {
    this.list = list;
    this.membership = membership;
    this.scheduler = scheduler;
    this.watcher = watcher;
  }

  /** Starts to read. */
  public void start() {
    ticking = scheduler.scheduleWithFixedDelay(this::tick, PERIOD_MS, TimeUnit.MILLISECONDS);
  }

  /** Stops to read. */
  public void stop() {
    ticking.cancel();
  }

  private void tick() {
    if (reading || !watcher.getAsBoolean()) {
      return;
    }
    reading = true;
    list.read()
        .whenComplete(
            (entries, failure) -> {
              reading = false;
              membership.listed(failure == null ? entries : List.of());
            });
  }
}
