package org.clementineford.weights;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Which VMs of a data centre may load a version now. */
public final class ActivationPacing {
  /** Delay after which a VM with a whole copy activates although nobody ordered it. */
  public static final long FALLBACK_NANOS = TimeUnit.SECONDS.toNanos(15);

  private ActivationPacing() {}

  /**
   * Returns how many VMs may load weights at a time.
   *
   * @param share largest part of the VMs, above 0 and at most 1
   * @param vms endpoint VMs of the data centre
   * @return at least 1
   */
  public static int slots(double share, int vms) {
    return Math.max(1, (int) Math.floor(share * vms));
  }

  /**
   * Chooses the VMs to order next.
   *
   * @param whole VMs that hold a whole copy and do not serve it yet
   * @param loading VMs that were ordered and have not answered
   * @param slots how many may load at a time
   * @param key model and version, so that each rollout has an order of its own
   * @return VMs to order, first rank first
   */
  public static List<String> next(
      Collection<String> whole, Set<String> loading, int slots, String key) {
    List<String> waiting = new ArrayList<>(whole);
    waiting.removeAll(loading);
    List<String> ordered = RendezvousHash.order(waiting, key);
    return ordered.subList(0, Math.max(0, Math.min(ordered.size(), slots - loading.size())));
  }

  /**
   * Returns when a VM activates alone.
   *
   * @param vm name of the VM
   * @param key model and version
   * @param vms endpoint VMs of the data centre
   * @param share largest part of the VMs that may load at a time
   * @param loadNanos expected time of one load
   * @return delay after the copy is whole, in nanoseconds; at least {@link #FALLBACK_NANOS}
   */
  public static long fallbackDelay(
      String vm, String key, Collection<String> vms, double share, long loadNanos) {
    int position = Math.max(0, RendezvousHash.order(List.copyOf(vms), key).indexOf(vm));
    return FALLBACK_NANOS + position / slots(share, vms.size()) * loadNanos;
  }
}
