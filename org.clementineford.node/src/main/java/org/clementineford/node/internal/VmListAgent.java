package org.clementineford.node.internal;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.platform.VmList;

/**
 * Reads the platform's VM list while this process is one of the watchers. The list may be outdated,
 * so it only adds addresses to contact and marks VMs as leaving; it never removes a member.
 */
public final class VmListAgent {
  // A leaving VM must stop getting work within 3 s; this period leaves 1 s to inform all members.
  private static final long PERIOD_MS = 2000;

  private final VmList list;
  private final MembershipAgent membership;
  private final Scheduler scheduler;
  private final BooleanSupplier watcher;
  private Scheduler.Cancellable timer = () -> {};
  private volatile boolean readInProgress;

  /**
   * Creates an agent.
   *
   * @param list the platform's VM list
   * @param membership agent that processes the entries
   * @param scheduler timers
   * @param watcher returns whether this process should read the list now
   */
  public VmListAgent(
      VmList list, MembershipAgent membership, Scheduler scheduler, BooleanSupplier watcher) {
    this.list = list;
    this.membership = membership;
    this.scheduler = scheduler;
    this.watcher = watcher;
  }

  /** Starts to read the list periodically. */
  public void start() {
    timer = scheduler.scheduleWithFixedDelay(this::tick, PERIOD_MS, TimeUnit.MILLISECONDS);
  }

  /** Stops reading the list. */
  public void stop() {
    timer.cancel();
  }

  private void tick() {
    if (readInProgress || !watcher.getAsBoolean()) {
      return;
    }
    readInProgress = true;
    list.read()
        .whenComplete(
            (entries, failure) -> {
              readInProgress = false;
              membership.onVmList(failure == null ? entries : List.of());
            });
  }
}
