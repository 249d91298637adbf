package org.clementineford.bench.distribution;

import java.util.List;

/** A simple way to distribute weights, with which the product is compared. */
enum Baseline {
  /** Every VM reads the whole copy from the origin. */
  ORIGIN(10) {
    @Override
    void connect(List<BaselineVm> vms, BenchOrigin origin) {
      vms.forEach(vm -> vm.readOrigin(origin.address()));
    }
  },
  /** Every VM reads from the one before it; the first reads from the origin. */
  CHAIN(3) {
    @Override
    void connect(List<BaselineVm> vms, BenchOrigin origin) {
      for (int i = vms.size() - 1; i > 0; i--) {
        vms.get(i).readPeer(vms.get(i - 1).address());
      }
      vms.get(0).readOrigin(origin.address());
    }
  };

  private final int shortening;

  Baseline(int shortening) {
    this.shortening = shortening;
  }

  /** Starts all VMs. */
  abstract void connect(List<BaselineVm> vms, BenchOrigin origin);

  /**
   * Returns by how much the copy and its chunks are shorter than in the run of the product. The
   * time in units of T stays the same, and 20 T would last too long with the full copy.
   */
  int shortening() {
    return shortening;
  }
}
