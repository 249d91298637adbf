package org.clementineford.endpoint.internal.weights;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.agrona.concurrent.NanoClock;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.configuration.ConfigurationSnapshot;
import org.clementineford.configuration.ModelSpecification;
import org.clementineford.configuration.Policies;
import org.clementineford.endpoint.ServedVersions;
import org.clementineford.kernel.DistributionPolicy;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.platform.ModelEngine;
import org.clementineford.kernel.platform.WeightSource;
import org.clementineford.kernel.timeline.HybridLogicalClock;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.node.ConfigurationView;
import org.clementineford.node.MembershipView;
import org.clementineford.node.NodeContext;
import org.clementineford.node.PayloadRouter;
import org.clementineford.node.SharedServices;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.Payloads;
import org.clementineford.transport.PeerNetwork;
import org.clementineford.transport.PeerTiming;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.weights.TransferLimits;

/** Weights component on a node whose configuration and members are set by the test. */
final class WeightsTestNode implements AutoCloseable {
  static final String MODEL = "assistant";
  static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);

  private final List<Consumer<ConfigurationSnapshot>> configurationListeners =
      new CopyOnWriteArrayList<>();
  private final List<Consumer<List<MembershipView.Member>>> memberListeners =
      new CopyOnWriteArrayList<>();
  private final NodeContext context;
  private final WeightsComponent component;
  private volatile ConfigurationSnapshot snapshot = ConfigurationSnapshot.EMPTY;
  private volatile List<MembershipView.Member> members = List.of();

  WeightsTestNode(
      String name,
      EventLoopGroup eventLoops,
      Scheduler scheduler,
      NanoClock clock,
      WeightSource origin,
      ModelEngine engine,
      Executor verifier,
      TransferLimits limits)
      throws ClementinefordException {
    VmIdentity planned = new VmIdentity(name, VmRole.ENDPOINT, "dc-1", "lorient", 1, ANY_PORT);
    PeerNetwork network =
        new PeerNetwork(
            eventLoops,
            Payloads.toWire(planned),
            PeerTiming.DEFAULT,
            SystemNanoClock.INSTANCE,
            LinkShaping.NONE);
    VmIdentity self =
        new VmIdentity(name, VmRole.ENDPOINT, "dc-1", "lorient", 1, network.listen(ANY_PORT));
    PayloadRouter router = new PayloadRouter();
    network.setHandler(router);
    HybridLogicalClock hybridClock = new HybridLogicalClock(() -> 0);
    this.context =
        new NodeContext(
            self,
            eventLoops,
            scheduler,
            clock,
            () -> 0,
            network,
            router,
            configuration(),
            membership(),
            OptionalLong::empty,
            null,
            new HttpClient(eventLoops, LinkShaping.NONE),
            new Timeline(hybridClock, name, 1, 1000),
            new SharedServices(),
            new PrometheusRegistry());
    this.component =
        new WeightsComponent(
            context,
            new WeightSources(Optional.empty(), origin),
            Map.of(MODEL, List.of(engine)),
            limits,
            new WeightsArea(1 << 20, ANY_PORT),
            verifier);
    component.start();
  }

  private ConfigurationView configuration() {
    return new ConfigurationView() {
      @Override
      public ConfigurationSnapshot current() {
        return snapshot;
      }

      @Override
      public void onChange(Consumer<ConfigurationSnapshot> listener) {
        configurationListeners.add(listener);
      }
    };
  }

  private MembershipView membership() {
    return new MembershipView() {
      @Override
      public List<Member> members() {
        return members;
      }

      @Override
      public void onChange(Consumer<List<Member>> listener) {
        memberListeners.add(listener);
      }
    };
  }

  void setMembers(List<WeightsTestNode> nodes) {
    members =
        nodes.stream()
            .map(node -> new MembershipView.Member(node.context.self(), MembershipView.Phase.ALIVE))
            .toList();
    memberListeners.forEach(listener -> listener.accept(members));
  }

  void setTarget(long revision, String version, boolean paused) {
    ModelSpecification model =
        new ModelSpecification(MODEL, version, DistributionPolicy.FEWEST_ORIGIN_BYTES, paused);
    snapshot =
        new ConfigurationSnapshot(
            revision,
            Map.of(MODEL, model),
            Map.of(),
            Map.of(),
            java.util.Set.of(),
            java.util.Set.of(),
            Policies.DEFAULT);
    configurationListeners.forEach(listener -> listener.accept(snapshot));
  }

  NodeContext context() {
    return context;
  }

  Optional<String> servedVersion() {
    return served().current(MODEL).map(ServedVersions.ServedVersion::version);
  }

  ServedVersions served() {
    return context.sharedServices().get(ServedVersions.class);
  }

  @Override
  public void close() {
    component.close();
    context.network().close();
    context.httpClient().close();
  }

  /** Engine that records load orders; reports the ordered digest unless the test sets another. */
  static final class RecordingEngine implements ModelEngine {
    private final List<LoadOrder> orders = new CopyOnWriteArrayList<>();
    private volatile String reportedDigest;
    private volatile LoadedVersion loaded;

    void restart() {
      loaded = null;
    }

    void setReportedDigest(String digest) {
      reportedDigest = digest;
    }

    List<LoadOrder> orders() {
      return orders;
    }

    @Override
    public CompletableFuture<LoadedVersion> load(LoadOrder order) {
      orders.add(order);
      String digest = reportedDigest == null ? order.digest() : reportedDigest;
      loaded = new LoadedVersion(order.model(), order.version(), digest);
      return CompletableFuture.completedFuture(loaded);
    }

    @Override
    public CompletableFuture<EngineLoad> readLoad() {
      return CompletableFuture.completedFuture(new EngineLoad(0, 0, 1, 0, loaded));
    }
  }
}
