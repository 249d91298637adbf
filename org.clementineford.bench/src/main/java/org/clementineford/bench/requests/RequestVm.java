package org.clementineford.bench.requests;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.endpoint.ServedVersions;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.platform.VersionedObjectStore;
import org.clementineford.kernel.plugins.PlugInRegistry;
import org.clementineford.kernel.settings.Settings;
import org.clementineford.kernel.timeline.HybridLogicalClock;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.node.NodeComponent;
import org.clementineford.node.NodeComponentFactory;
import org.clementineford.node.NodeContext;
import org.clementineford.node.PayloadRouter;
import org.clementineford.node.SharedServices;
import org.clementineford.transport.EventLoopScheduler;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.Payloads;
import org.clementineford.transport.PeerNetwork;
import org.clementineford.transport.PeerTiming;
import org.clementineford.transport.http.HttpClient;

/** A daemon under measurement with its own threads and sockets, which can be killed or frozen. */
final class RequestVm implements AutoCloseable {
  private static final int TIMELINE_EVENTS = 4096;
  private static final String DIGEST = "0".repeat(64);

  private final String name;
  private final int threads;
  private final EventLoopGroup loops;
  private final ChannelGroup peerChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final NodeContext context;
  private final NodeComponent component;
  private volatile boolean closed;

  RequestVm(
      String vm,
      VmRole role,
      long incarnation,
      HostPort peerAddress,
      RequestViews views,
      VersionedObjectStore store,
      int threads,
      String factoryName,
      String... arguments)
      throws ClementinefordException {
    this.name = vm;
    this.threads = threads;
    this.loops = EventLoopGroups.create(vm, threads);
    VmIdentity planned = new VmIdentity(vm, role, "lorient", "brittany", incarnation, peerAddress);
    PeerNetwork network =
        new PeerNetwork(
            loops,
            Payloads.toWire(planned),
            PeerTiming.DEFAULT,
            SystemNanoClock.INSTANCE,
            pipeline -> peerChannels.add(pipeline.channel()));
    HostPort address = network.listen(peerAddress);
    VmIdentity self = new VmIdentity(vm, role, "lorient", "brittany", incarnation, address);
    PayloadRouter router = new PayloadRouter();
    network.setHandler(router);
    SharedServices shared = new SharedServices();
    shared.register(ServedVersions.class, views.servedVersions(DIGEST));
    HybridLogicalClock clock = new HybridLogicalClock(SystemEpochClock.INSTANCE);
    this.context =
        new NodeContext(
            self,
            loops,
            new EventLoopScheduler(loops),
            SystemNanoClock.INSTANCE,
            SystemEpochClock.INSTANCE,
            network,
            router,
            views.configuration(),
            views.membershipFor(() -> !closed),
            OptionalLong::empty,
            store,
            new HttpClient(loops, LinkShaping.NONE),
            new Timeline(clock, vm, incarnation, TIMELINE_EVENTS),
            shared,
            new PrometheusRegistry());
    NodeComponentFactory factory = PlugInRegistry.load(NodeComponentFactory.class).get(factoryName);
    Settings settings = Settings.read(factory.settings(), arguments, Map.of());
    this.component = factory.create(context, settings);
    component.start();
    views.join(self);
  }

  VmIdentity self() {
    return context.self();
  }

  NodeComponent component() {
    return component;
  }

  /** Blocks all threads of the daemon: its sockets stay open, but it reads nothing from them. */
  void freeze(long milliseconds) {
    CountDownLatch never = new CountDownLatch(1);
    for (int i = 0; i < threads; i++) {
      loops
          .next()
          .execute(
              () -> {
                try {
                  never.await(milliseconds, TimeUnit.MILLISECONDS);
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              });
    }
  }

  /** Closes all connections to other daemons, both accepted and opened by this one. */
  void closeConnections() {
    peerChannels.close();
  }

  /** Kills the daemon: closes all sockets at once, without draining; all state is lost. */
  @Override
  public void close() {
    closed = true;
    component.close();
    context.network().close();
    context.httpClient().close();
    EventLoopGroups.stop(loops);
  }

  @Override
  public String toString() {
    return name;
  }
}
