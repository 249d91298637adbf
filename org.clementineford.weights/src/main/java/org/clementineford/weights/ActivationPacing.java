package org.clementineford.weights;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Limits how many VMs of a data centre load a version at the same time. */
public final class ActivationPacing {
  /** Minimum delay after which a VM with a complete copy activates it without an order. */
  public static final long MIN_FALLBACK_DELAY_NANOS = TimeUnit.SECONDS.toNanos(15);

  private ActivationPacing() {}

  /**
   * Returns how many VMs may load weights at the same time.
   *
   * @param share maximum share of the VMs, above 0 and at most 1
   * @param vms endpoint VMs of the data centre
   * @return at least 1
   */
  public static int slots(double share, int vms) {
    return Math.max(1, (int) Math.floor(share * vms));
  }

  /**
   * Chooses the VMs that get an order to load next.
   *
   * @param complete VMs that hold a complete copy and do not serve it yet
   * @param loading VMs that got an order and have not answered it
   * @param slots how many VMs may load at the same time
   * @param key model and version, so that the order of VMs differs between rollouts
   * @return VMs that get an order, highest rank first
   */
  public static List<String> next(
      Collection<String> complete, Set<String> loading, int slots, String key) {
    List<String> waiting = new ArrayList<>(complete);
    waiting.removeAll(loading);
    List<String> ordered = RendezvousHash.order(waiting, key);
    return ordered.subList(0, Math.max(0, Math.min(ordered.size(), slots - loading.size())));
  }

  /**
   * Returns the delay after which a VM activates a version without an order.
   *
   * @param vm name of the VM
   * @param key model and version
   * @param vms endpoint VMs of the data centre
   * @param share maximum share of the VMs that may load at the same time
   * @param loadNanos expected duration of one load
   * @return delay after the copy is complete, in nanoseconds; at least {@link
   *     #MIN_FALLBACK_DELAY_NANOS}
   */
  public static long fallbackDelay(
      String vm, String key, Collection<String> vms, double share, long loadNanos) {
    int position = Math.max(0, RendezvousHash.order(List.copyOf(vms), key).indexOf(vm));
    return MIN_FALLBACK_DELAY_NANOS + position / slots(share, vms.size()) * loadNanos;
  }
}
