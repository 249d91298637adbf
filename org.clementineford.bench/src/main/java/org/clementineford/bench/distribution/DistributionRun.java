package org.clementineford.bench.distribution;

import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.configuration.ConfigurationSnapshot;
import org.clementineford.configuration.ModelSpecification;
import org.clementineford.configuration.Policies;
import org.clementineford.endpoint.ServedVersions.ServedVersion;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.node.StatusContributor;
import org.clementineford.wire.ModelStatus;

/** One distribution by the product's transfer components. */
final class DistributionRun {
  private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final int MAX_T = 12;
  private static final long SAMPLE_MS = 20;
  private static final int PROGRESS_STEPS = 10;

  private final RunPlan plan;
  private final List<Double> progressShares = new CopyOnWriteArrayList<>();
  private final AtomicLong wrongAnswers = new AtomicLong();
  private final AtomicLong answers = new AtomicLong();

  DistributionRun(RunPlan plan) {
    this.plan = plan;
  }

  Map<String, Object> run() throws ClementinefordException, InterruptedException {
    try (Fleet fleet = new Fleet(plan)) {
      LockSupport.parkNanos(SETTLE_NANOS);
      Faults faults = plan.faults() ? new Faults(fleet, plan) : null;
      Set<BenchVm> killed = faults == null ? Set.of() : faults.killed();
      List<BenchVm> surviving =
          fleet.endpoints().stream().filter(vm -> !killed.contains(vm)).toList();
      CountDownLatch serving = new CountDownLatch(surviving.size());
      surviving.forEach(vm -> vm.served().onChange(version -> serving.countDown()));
      final var sampler =
          fleet
              .eventLoops()
              .scheduleWithFixedDelay(
                  () -> sample(fleet, surviving), SAMPLE_MS, SAMPLE_MS, TimeUnit.MILLISECONDS);
      final var progress =
          fleet
              .eventLoops()
              .scheduleAtFixedRate(
                  () -> progressShares.add(round(heldShare(surviving))),
                  0,
                  (long) (plan.transferSeconds() * 1e9 / PROGRESS_STEPS),
                  TimeUnit.NANOSECONDS);
      resetPeakHeap();
      final long start = SystemNanoClock.INSTANCE.nanoTime();
      if (faults != null) {
        faults.schedule();
      }
      fleet.views().accept(wanted());
      final boolean finished =
          serving.await((long) (MAX_T * plan.transferSeconds() * 1000), TimeUnit.MILLISECONDS);
      final double seconds = (SystemNanoClock.INSTANCE.nanoTime() - start) / 1e9;
      sample(fleet, surviving);
      sampler.cancel(false);
      progress.cancel(false);
      return figures(fleet, faults, surviving, finished, seconds);
    }
  }

  private ConfigurationSnapshot wanted() {
    ModelSpecification model =
        new ModelSpecification(Fleet.MODEL, Fleet.VERSION, plan.policy(), false);
    return new ConfigurationSnapshot(
        1, Map.of(Fleet.MODEL, model), Map.of(), Map.of(), Set.of(), Set.of(), Policies.DEFAULT);
  }

  /** Asks every engine that serves what it answers from. */
  private void sample(Fleet fleet, List<BenchVm> surviving) {
    for (BenchVm vm : surviving) {
      var current = vm.served().current(Fleet.MODEL);
      if (current.isPresent()) {
        answers.incrementAndGet();
        ServedVersion served = current.get();
        boolean right =
            served.digest().equals(vm.engine().answersFrom().digest())
                && served.digest().equals(fleet.manifest().digest());
        if (!right) {
          wrongAnswers.incrementAndGet();
        }
      }
    }
  }

  private static double heldShare(List<BenchVm> surviving) {
    double sum = 0;
    for (BenchVm vm : surviving) {
      for (ModelStatus status :
          vm.context().sharedServices().get(StatusContributor.class).modelStatuses()) {
        sum += status.getChunksHeld() / (double) Math.max(1, status.getChunksTotal());
      }
    }
    return sum / surviving.size();
  }

  private Map<String, Object> figures(
      Fleet fleet, Faults faults, List<BenchVm> surviving, boolean finished, double seconds) {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("vms", plan.vms());
    figures.put("policy", plan.policy().name());
    figures.put("T_seconds", plan.transferSeconds());
    figures.put("finished", finished);
    figures.put("time_over_T", round(seconds / plan.transferSeconds()));
    figures.put("origin_copies", round(fleet.origin().copiesRead()));
    figures.put("bytes_between_regions", fleet.links().bytesBetweenRegions());
    long refetched = 0;
    for (BenchVm vm : surviving) {
      for (ModelStatus status :
          vm.context().sharedServices().get(StatusContributor.class).modelStatuses()) {
        refetched += status.getBytesRefetched();
      }
    }
    figures.put("refetched_bytes", refetched);
    figures.put("received_bytes_by_source", receivedBytes(surviving));
    figures.put("held_share_each_tenth_of_T", List.copyOf(progressShares));
    figures.put("peak_heap_bytes_per_vm", peakHeap() / plan.vms());
    figures.put("answers", answers.get());
    figures.put("wrong_digest_answers", wrongAnswers.get());
    if (faults != null) {
      figures.put("killed_vms", faults.killed().size());
      figures.put("stalled_links", faults.stalledLinks());
      figures.put("corrupted_messages", fleet.disturbance().corrupted());
    }
    return figures;
  }

  private static Map<String, Long> receivedBytes(List<BenchVm> vms) {
    Map<String, Long> bytes = new TreeMap<>();
    for (BenchVm vm : vms) {
      for (MetricSnapshot metric : vm.context().metrics().scrape()) {
        if (metric.getMetadata().getName().equals("clementineford_weights_received_bytes")) {
          for (var point : ((CounterSnapshot) metric).getDataPoints()) {
            bytes.merge(point.getLabels().get("source"), (long) point.getValue(), Long::sum);
          }
        }
      }
    }
    return bytes;
  }

  static double round(double value) {
    return Math.round(value * 1000) / 1000.0;
  }

  private static void resetPeakHeap() {
    System.gc();
    ManagementFactory.getMemoryPoolMXBeans().forEach(MemoryPoolMXBean::resetPeakUsage);
  }

  private static long peakHeap() {
    long peak = 0;
    for (MemoryPoolMXBean pool : ManagementFactory.getMemoryPoolMXBeans()) {
      if (pool.getType() == MemoryType.HEAP) {
        peak += pool.getPeakUsage().getUsed();
      }
    }
    return peak;
  }
}
