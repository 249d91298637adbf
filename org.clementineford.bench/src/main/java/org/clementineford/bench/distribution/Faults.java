package org.clementineford.bench.distribution;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Kills VMs, stalls links and corrupts chunks while a transfer is under way. */
final class Faults {
  /** When the faults begin, as a share of T. */
  private static final double START = 0.4;

  /** Delay after which the membership reports a killed VM, as in the product. */
  private static final long DETECTION_MS = 3000;

  private static final int ONE_IN = 10;

  private final Fleet fleet;
  private final RunPlan plan;
  private final SplittableRandom random;
  private final Set<BenchVm> killed = new HashSet<>();
  private int stalledLinks;

  Faults(Fleet fleet, RunPlan plan) {
    this.fleet = fleet;
    this.plan = plan;
    this.random = new SplittableRandom(plan.seed());
    List<BenchVm> candidates = new ArrayList<>(fleet.endpoints());
    for (int i = 0; i < Math.max(1, plan.vms() / ONE_IN); i++) {
      killed.add(candidates.remove(random.nextInt(candidates.size())));
    }
  }

  void schedule() {
    fleet.disturbance().enable();
    long delayMs = (long) (START * plan.transferSeconds() * 1000);
    fleet.eventLoops().schedule(this::strike, delayMs, TimeUnit.MILLISECONDS);
  }

  private void strike() {
    List<LinkMap.Place> places = fleet.places();
    for (int a = 0; a < places.size(); a++) {
      for (int b = 0; b < a; b++) {
        if (random.nextInt(ONE_IN) == 0) {
          fleet.links().stall(places.get(a), places.get(b));
          stalledLinks++;
        }
      }
    }
    for (BenchVm vm : killed) {
      fleet.kill(vm);
      fleet
          .eventLoops()
          .schedule(
              () -> fleet.views().remove(vm.context().self().vm()),
              DETECTION_MS,
              TimeUnit.MILLISECONDS);
    }
  }

  Set<BenchVm> killed() {
    return killed;
  }

  int stalledLinks() {
    return stalledLinks;
  }
}
