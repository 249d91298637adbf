package org.clementineford.requests.admission;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.clementineford.testing.VirtualTime;

/**
 * Simulated engine behind a fair queue. Each slot generates one token per millisecond. Arrivals are
 * Poisson processes, and costs are equal or exponentially distributed; estimates are 0.5 to 2 times
 * the actual cost.
 */
final class SimulatedEngine {
  private static final int MEAN_COST = 200;

  final VirtualTime time = new VirtualTime(0);
  final Map<String, Integer> weights = new HashMap<>();
  final FairQueue<Job> queue;
  private final Map<String, List<Long>> latencies = new HashMap<>();
  private final Map<String, Long> served = new HashMap<>();
  private final int slots;
  private final boolean equalCosts;
  private final long seed;

  SimulatedEngine(int slots, boolean equalCosts, long seed) {
    this.slots = slots;
    this.equalCosts = equalCosts;
    this.seed = seed;
    this.queue =
        new FairQueue<>(FairQueueLimits.DEFAULT, slots, name -> weights.getOrDefault(name, 1));
  }

  /** Starts the load of an account, as a fraction of the capacity of the engine. */
  void addLoad(String account, double load, boolean urgent) {
    scheduleArrival(account, load, urgent, new SplittableRandom(seed + account.hashCode()));
  }

  private void scheduleArrival(
      String account, double load, boolean urgent, SplittableRandom random) {
    double meanGapNanos = MEAN_COST * 1e6 / (slots * load);
    long gap = (long) (exponential(random) * meanGapNanos);
    time.schedule(
        () -> {
          arrive(account, urgent, random);
          scheduleArrival(account, load, urgent, random);
        },
        gap,
        TimeUnit.NANOSECONDS);
  }

  private void arrive(String account, boolean urgent, SplittableRandom random) {
    long cost = equalCosts ? MEAN_COST : 1 + (long) (exponential(random) * MEAN_COST);
    long estimate = (long) (cost * (0.5 + 1.5 * random.nextDouble()));
    Job job = new Job(cost, time.nanoTime());
    queue.offer(new QueuedRequest<>(account, urgent, estimate, Long.MAX_VALUE, job));
    startNext();
  }

  private static double exponential(SplittableRandom random) {
    return -Math.log(1 - random.nextDouble());
  }

  private void startNext() {
    QueuedRequest<Job> next = queue.poll();
    while (next != null) {
      QueuedRequest<Job> started = next;
      time.schedule(() -> finish(started), started.work().cost(), TimeUnit.MILLISECONDS);
      next = queue.poll();
    }
  }

  private void finish(QueuedRequest<Job> request) {
    queue.finish(request, request.work().cost());
    served.merge(request.clientAccount(), request.work().cost(), Long::sum);
    latencies
        .computeIfAbsent(request.clientAccount(), name -> new ArrayList<>())
        .add(time.nanoTime() - request.work().arrivedNanos());
    startNext();
  }

  long served(String account) {
    return served.getOrDefault(account, 0L);
  }

  /** Returns the 99th percentile of the latency of an account, in milliseconds. */
  double percentile99(String account) {
    List<Long> sorted = new ArrayList<>(latencies.get(account));
    Collections.sort(sorted);
    return sorted.get(sorted.size() * 99 / 100) / 1e6;
  }

  record Job(long cost, long arrivedNanos) {}
}
