package org.clementineford.bench.distribution;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.transport.LinkShaping;
import org.clementineford.weights.Manifest;

/** One distribution in the way of a baseline, over the same links. */
final class BaselineRun implements AutoCloseable {
  private static final int THREADS = 3;
  private static final int LONGEST_SECONDS = 60;

  private final Baseline baseline;
  private final RunPlan plan;
  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
  private final LinkHandler.Disturbance undisturbed = new LinkHandler.Disturbance(0, 0);
  private final LinkMap links;

  BaselineRun(Baseline baseline, RunPlan full) {
    this.baseline = baseline;
    this.plan = full.shortened(baseline.shortening());
    this.links = new LinkMap(Fleet.REGIONS, plan.regionBytesPerSecond());
  }

  /** Returns the time until the last VM holds a whole copy, in units of T. */
  double timeOverT() throws Exception {
    byte[] weights = new byte[plan.copyBytes()];
    new SplittableRandom(plan.seed()).nextBytes(weights);
    Manifest manifest = Manifest.describe(Fleet.MODEL, Fleet.VERSION, weights, plan.chunkBytes());
    LinkMap.Place place = place("origin", Fleet.REGIONS.get(0), 2 * plan.vmBytesPerSecond());
    List<BaselineVm> vms = new ArrayList<>();
    try (BenchOrigin origin = new BenchOrigin(eventLoops, manifest, weights, shaping(place))) {
      links.listens(origin.address().port(), place);
      for (int i = 0; i < plan.vms(); i++) {
        vms.add(vm(i, manifest));
      }
      final long start = SystemNanoClock.INSTANCE.nanoTime();
      baseline.connect(vms, origin);
      CompletableFuture.allOf(vms.stream().map(BaselineVm::whole).toArray(CompletableFuture[]::new))
          .get(LONGEST_SECONDS, TimeUnit.SECONDS);
      double seconds = (SystemNanoClock.INSTANCE.nanoTime() - start) / 1e9;
      return seconds / plan.transferSeconds();
    } finally {
      vms.forEach(BaselineVm::close);
    }
  }

  private BaselineVm vm(int number, Manifest manifest) throws Exception {
    // Neighbours in the chain are in the same region, so the chain crosses each border once.
    String region = Fleet.REGIONS.get(number * Fleet.REGIONS.size() / plan.vms());
    LinkMap.Place place = place("vm-" + number, region, plan.vmBytesPerSecond());
    BaselineVm vm = new BaselineVm(eventLoops, place, shaping(place), manifest);
    links.listens(vm.address().port(), place);
    return vm;
  }

  private LinkMap.Place place(String name, String region, double bytesPerSecond) {
    return new LinkMap.Place(name, region, new Link(bytesPerSecond), new Link(bytesPerSecond));
  }

  private LinkShaping shaping(LinkMap.Place place) {
    return pipeline ->
        pipeline.addLast(new LinkHandler(links, place, SystemNanoClock.INSTANCE, undisturbed));
  }

  @Override
  public void close() {
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
