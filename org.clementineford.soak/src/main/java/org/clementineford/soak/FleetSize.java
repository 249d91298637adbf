package org.clementineford.soak;

/**
 * Numbers of VMs.
 *
 * @param entryVms number of entry VMs
 * @param endpointVms number of endpoint VMs, each with an engine
 */
public record FleetSize(int entryVms, int endpointVms) {
  /** Fewest VMs of both kinds together. */
  public static final int FEWEST = 5;

  /**
   * Splits a number of VMs: two of five are entry VMs.
   *
   * @param vms number of VMs, {@value #FEWEST} or more
   * @return numbers of both kinds
   */
  public static FleetSize of(int vms) {
    int entryVms = vms * 2 / 5;
    return new FleetSize(entryVms, vms - entryVms);
  }

  /** Returns the number of all VMs. */
  int vms() {
    return entryVms + endpointVms;
  }
}
