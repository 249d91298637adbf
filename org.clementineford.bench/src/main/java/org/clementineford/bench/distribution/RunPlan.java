package org.clementineford.bench.distribution;

import org.clementineford.kernel.DistributionPolicy;

/**
 * What one run distributes.
 *
 * @param vms endpoint VMs, spread evenly over three regions
 * @param policy what the distribution saves first
 * @param copyBytes length of the weights
 * @param chunkBytes length of a chunk
 * @param transferSeconds time that one copy needs over one VM's link, called T
 * @param regionLinkShare bandwidth of a link between two regions as a share of a VM's link
 * @param paced true if the VMs know that bandwidth and leave a share of it to requests
 * @param faults true if VMs are killed, links stalled and chunks corrupted
 * @param seed seed of the weights and of the faults
 */
record RunPlan(
    int vms,
    DistributionPolicy policy,
    int copyBytes,
    int chunkBytes,
    double transferSeconds,
    double regionLinkShare,
    boolean paced,
    boolean faults,
    long seed) {

  double vmBytesPerSecond() {
    return copyBytes / transferSeconds;
  }

  double regionBytesPerSecond() {
    return vmBytesPerSecond() * regionLinkShare;
  }

  /** Returns a plan for a short run whose figures are not used. */
  RunPlan warmUp() {
    return new RunPlan(
        Math.min(vms, 20),
        policy,
        copyBytes / 2,
        chunkBytes,
        2.0,
        regionLinkShare,
        paced,
        false,
        seed);
  }

  /** Returns a plan whose copy is shorter by a factor, with the same number of chunks. */
  RunPlan shortened(int factor) {
    return new RunPlan(
        vms,
        policy,
        copyBytes / factor,
        chunkBytes / factor,
        transferSeconds / factor,
        regionLinkShare,
        paced,
        false,
        seed);
  }
}
