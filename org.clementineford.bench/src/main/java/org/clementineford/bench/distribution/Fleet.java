package org.clementineford.bench.distribution;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.transport.LinkShaping;
import org.clementineford.weights.Manifest;

/** The endpoint VMs, one entry VM for each data centre, the origin and the links between them. */
final class Fleet implements AutoCloseable {
  static final String MODEL = "assistant";
  static final String VERSION = "v2";
  static final List<String> REGIONS = List.of("brittany", "paris", "indian-ocean");

  private static final int THREADS = 3;
  private static final double CORRUPTED_SHARE = 0.01;
  private static final double ENTRY_BYTES_PER_SECOND = 1e9;

  private final RunPlan plan;
  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
  private final ExecutorService verifier = Executors.newFixedThreadPool(1);
  private final LinkMap links;
  private final LinkHandler.Disturbance disturbance;
  private final BenchViews views = new BenchViews();
  private final BenchOrigin origin;
  private final Manifest manifest;
  private final List<BenchVm> endpoints = new ArrayList<>();
  private final List<LinkMap.Place> places = new ArrayList<>();
  private final List<BenchVm> entries = new ArrayList<>();

  Fleet(RunPlan plan) throws ClementinefordException {
    this.plan = plan;
    this.links = new LinkMap(REGIONS, plan.regionBytesPerSecond());
    this.disturbance = new LinkHandler.Disturbance(CORRUPTED_SHARE, plan.seed());
    byte[] weights = new byte[plan.copyBytes()];
    new SplittableRandom(plan.seed()).nextBytes(weights);
    this.manifest = Manifest.describe(MODEL, VERSION, weights, plan.chunkBytes());
    LinkMap.Place place = place("origin", REGIONS.get(0), 2 * plan.vmBytesPerSecond());
    this.origin = new BenchOrigin(eventLoops, manifest, weights, shaping(place));
    links.listens(origin.address().port(), place);
    for (int i = 0; i < plan.vms(); i++) {
      addEndpoint(i);
    }
    for (String region : REGIONS) {
      addEntry(region);
    }
  }

  private LinkMap.Place place(String name, String region, double bytesPerSecond) {
    return new LinkMap.Place(name, region, new Link(bytesPerSecond), new Link(bytesPerSecond));
  }

  private LinkShaping shaping(LinkMap.Place place) {
    return pipeline ->
        pipeline.addLast(new LinkHandler(links, place, SystemNanoClock.INSTANCE, disturbance));
  }

  private void addEndpoint(int number) throws ClementinefordException {
    String region = REGIONS.get(number % REGIONS.size());
    LinkMap.Place place = place("vm-" + number, region, plan.vmBytesPerSecond());
    BenchVm vm = add(place, VmRole.ENDPOINT);
    long regionLink = plan.paced() ? (long) plan.regionBytesPerSecond() : 0;
    vm.startEndpoint(MODEL, origin.address(), 2L * plan.copyBytes(), regionLink, verifier);
    endpoints.add(vm);
    places.add(place);
  }

  private void addEntry(String region) throws ClementinefordException {
    BenchVm vm = add(place("entry-" + region, region, ENTRY_BYTES_PER_SECOND), VmRole.ENTRY);
    vm.startEntry();
    entries.add(vm);
  }

  private BenchVm add(LinkMap.Place place, VmRole role) throws ClementinefordException {
    VmIdentity planned =
        new VmIdentity(
            place.name(),
            role,
            "dc-" + place.region(),
            place.region(),
            1,
            new HostPort("127.0.0.1", 0));
    BenchVm vm = new BenchVm(eventLoops, planned, views, shaping(place));
    links.listens(vm.context().self().address().port(), place);
    views.join(vm.context().self());
    return vm;
  }

  void kill(BenchVm vm) {
    vm.close();
  }

  List<BenchVm> endpoints() {
    return endpoints;
  }

  List<LinkMap.Place> places() {
    return places;
  }

  LinkMap links() {
    return links;
  }

  LinkHandler.Disturbance disturbance() {
    return disturbance;
  }

  BenchViews views() {
    return views;
  }

  BenchOrigin origin() {
    return origin;
  }

  Manifest manifest() {
    return manifest;
  }

  EventLoopGroup eventLoops() {
    return eventLoops;
  }

  @Override
  public void close() {
    endpoints.forEach(BenchVm::close);
    entries.forEach(BenchVm::close);
    origin.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    verifier.shutdownNow();
  }
}
