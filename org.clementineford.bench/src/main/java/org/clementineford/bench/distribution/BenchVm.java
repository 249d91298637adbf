package org.clementineford.bench.distribution;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.endpoint.ServedVersions;
import org.clementineford.endpoint.internal.weights.WeightSources;
import org.clementineford.endpoint.internal.weights.WeightsArea;
import org.clementineford.endpoint.internal.weights.WeightsComponent;
import org.clementineford.entry.internal.rollout.RolloutControllerFactory;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.timeline.HybridLogicalClock;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.node.NodeComponent;
import org.clementineford.node.NodeContext;
import org.clementineford.node.PayloadRouter;
import org.clementineford.node.SharedServices;
import org.clementineford.platform.HttpWeightSource;
import org.clementineford.transport.EventLoopScheduler;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.Payloads;
import org.clementineford.transport.PeerNetwork;
import org.clementineford.transport.PeerTiming;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.weights.TransferLimits;

/** A process of the measured fleet with its own sockets. */
final class BenchVm implements AutoCloseable {
  private static final HostPort ANY = new HostPort("127.0.0.1", 0);
  private static final int TIMELINE_EVENTS = 4096;

  private final NodeContext context;
  private final HttpClient loopback;
  private final BenchEngine engine;
  private NodeComponent component;

  BenchVm(EventLoopGroup eventLoops, VmIdentity planned, BenchViews views, LinkShaping shaping)
      throws ClementinefordException {
    PeerNetwork network =
        new PeerNetwork(
            eventLoops,
            Payloads.toWire(planned),
            PeerTiming.DEFAULT,
            SystemNanoClock.INSTANCE,
            shaping);
    HostPort address = network.listen(ANY);
    VmIdentity self =
        new VmIdentity(
            planned.vm(),
            planned.role(),
            planned.dataCentre(),
            planned.region(),
            planned.incarnation(),
            address);
    HybridLogicalClock clock = new HybridLogicalClock(SystemEpochClock.INSTANCE);
    PayloadRouter router = new PayloadRouter();
    network.setHandler(router);
    this.context =
        new NodeContext(
            self,
            eventLoops,
            new EventLoopScheduler(eventLoops),
            SystemNanoClock.INSTANCE,
            SystemEpochClock.INSTANCE,
            network,
            router,
            views.configuration(),
            views,
            () -> self.role() == VmRole.ENTRY ? OptionalLong.of(1) : OptionalLong.empty(),
            null,
            new HttpClient(eventLoops, shaping),
            new Timeline(clock, self.vm(), 1, TIMELINE_EVENTS),
            new SharedServices(),
            new PrometheusRegistry());
    this.loopback = new HttpClient(eventLoops, LinkShaping.NONE);
    this.engine = new BenchEngine(loopback);
  }

  void startEndpoint(
      String model, HostPort origin, long areaBytes, long regionLink, Executor verifier)
      throws ClementinefordException {
    WeightSources sources =
        new WeightSources(Optional.empty(), new HttpWeightSource(context.httpClient(), origin));
    component =
        new WeightsComponent(
            context,
            sources,
            Map.of(model, List.of(engine)),
            TransferLimits.DEFAULT.with(TransferLimits.DEFAULT.uploadSlots(), regionLink),
            new WeightsArea(areaBytes, ANY),
            verifier);
    component.start();
  }

  void startEntry() throws ClementinefordException {
    component = new RolloutControllerFactory().create(context, null);
    component.start();
  }

  NodeContext context() {
    return context;
  }

  BenchEngine engine() {
    return engine;
  }

  ServedVersions served() {
    return context.sharedServices().get(ServedVersions.class);
  }

  @Override
  public void close() {
    component.close();
    context.network().close();
    context.httpClient().close();
    loopback.close();
  }
}
