package org.clementineford.node;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.clementineford.configuration.lease.LeaseTiming;
import org.clementineford.configuration.membership.MembershipTiming;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.platform.VersionedObjectStore;
import org.clementineford.kernel.settings.Settings;
import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.kernel.timeline.HybridLogicalClock;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.node.internal.AdminRoutes;
import org.clementineford.node.internal.AdminServer;
import org.clementineford.node.internal.ConfigurationAgent;
import org.clementineford.node.internal.DiagnosticsAgent;
import org.clementineford.node.internal.DocumentOperations;
import org.clementineford.node.internal.IncarnationProbe;
import org.clementineford.node.internal.LeaseAgent;
import org.clementineford.node.internal.MembershipAgent;
import org.clementineford.node.internal.NodeMetrics;
import org.clementineford.node.internal.PlatformWatch;
import org.clementineford.node.internal.VmListAgent;
import org.clementineford.transport.Payloads;
import org.clementineford.transport.PeerNetwork;
import org.clementineford.transport.PeerTiming;
import org.clementineford.transport.http.HttpClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A running process of the fleet: the agents common to all processes and the components of its
 * role.
 */
public final class Node {
  private static final Logger LOG = LoggerFactory.getLogger(Node.class);
  private static final int TIMELINE_CAPACITY = 10_000;
  // The platform and peers answer within milliseconds; the stop does not depend on their answers.
  private static final long LEAVE_NOTICE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final NodeSettings settings;
  private final NodeEnvironment environment;
  private final HybridLogicalClock hybridClock;
  private PeerNetwork network;
  private final HttpClient httpClient;
  private final List<NodeComponent> components = new ArrayList<>();
  private final AtomicBoolean leaving = new AtomicBoolean();
  private final AtomicBoolean started = new AtomicBoolean();
  private NodeContext context;
  private MembershipAgent membership;
  private LeaseAgent lease;
  private PlatformWatch platformWatch;
  private VmListAgent vmList;
  private AdminServer admin;

  /**
   * Creates a node that does not listen yet.
   *
   * @param settings settings common to all processes
   * @param environment threads, clocks and adapters
   */
  public Node(NodeSettings settings, NodeEnvironment environment) {
    this.settings = settings;
    this.environment = environment;
    this.hybridClock = new HybridLogicalClock(environment.epochClock());
    this.httpClient = new HttpClient(environment.eventLoops(), environment.shaping());
  }

  /**
   * Starts the agents, then the components in the given order.
   *
   * @param factories factories of the role, in the order in which the components start
   * @param allSettings validated settings of the node and of all factories
   * @throws ClementinefordException if an address cannot be used or a component cannot start; the
   *     node is then closed
   */
  public void start(List<NodeComponentFactory> factories, Settings allSettings)
      throws ClementinefordException {
    try {
      startAgents();
      for (NodeComponentFactory factory : factories) {
        NodeComponent component = factory.create(context, allSettings);
        component.start();
        components.add(component);
        LOG.info("component {} started", factory.name());
      }
    } catch (ClementinefordException | RuntimeException e) {
      close();
      throw e;
    }
    started.set(true);
    context.timeline().record(EventKind.PROCESS_STARTED, "role", context.self().role().name());
    LOG.info(
        "{} listens for peers on {} and for admin requests on {}",
        context.self().vm(),
        peerAddress(),
        adminAddress());
  }

  private void startAgents() throws ClementinefordException {
    VmIdentity configured = settings.identity();
    if (!settings.seeds().isEmpty()) {
      try (PeerNetwork probeNetwork = newNetwork(configured)) {
        configured = IncarnationProbe.choose(probeNetwork, settings.seeds(), configured);
      }
    }
    network = newNetwork(configured);
    network.listen(configured.address());
    final VmIdentity self = Payloads.fromWire(network.self());
    final Timeline timeline =
        new Timeline(hybridClock, self.vm(), self.incarnation(), TIMELINE_CAPACITY);
    final VersionedObjectStore store =
        environment.objectStoreFactory().apply(httpClient, settings.platform());
    membership =
        new MembershipAgent(
            self,
            network,
            environment.nanoClock(),
            environment.scheduler(),
            MembershipTiming.DEFAULT,
            settings.seeds(),
            timeline);
    ConfigurationAgent configuration =
        new ConfigurationAgent(
            network,
            timeline,
            hybridClock,
            environment.nanoClock(),
            environment.epochClock(),
            membership::receivers);
    lease =
        new LeaseAgent(
            self,
            store,
            environment.nanoClock(),
            environment.epochClock(),
            environment.scheduler(),
            LeaseTiming.DEFAULT,
            () -> isWatcher(self),
            timeline);
    platformWatch =
        new PlatformWatch(store, configuration, environment.scheduler(), () -> isWatcher(self));
    vmList =
        new VmListAgent(
            environment.vmListFactory().apply(httpClient, settings.platform()),
            membership,
            environment.scheduler(),
            () -> isWatcher(self));
    SharedServices sharedServices = new SharedServices();
    PayloadRouter payloads = new PayloadRouter();
    PrometheusRegistry metrics = new PrometheusRegistry();
    context =
        new NodeContext(
            self,
            environment.eventLoops(),
            environment.scheduler(),
            environment.nanoClock(),
            environment.epochClock(),
            network,
            payloads,
            configuration,
            membership,
            lease,
            store,
            httpClient,
            timeline,
            sharedServices,
            metrics);
    AdminRoutes routes = new AdminRoutes();
    sharedServices.register(AdminRoutes.class, routes);
    DiagnosticsAgent diagnostics =
        new DiagnosticsAgent(network, configuration, timeline, sharedServices, leaving::get);
    diagnostics.register(payloads);
    configuration.register(payloads);
    NodeMetrics.register(metrics, configuration, membership, lease);
    network.setHandler(payloads);
    membership.start(payloads, configuration);
    if (self.role() == VmRole.ENTRY) {
      platformWatch.start();
      lease.start();
      vmList.start();
    }
    DocumentOperations operations =
        new DocumentOperations(
            store,
            configuration,
            environment.scheduler(),
            environment.nanoClock(),
            () -> hybridClock.now().physicalMs(),
            timeline);
    admin =
        AdminServer.start(
            environment.eventLoops(),
            settings.adminAddress(),
            new AdminServer.Dependencies(
                routes,
                configuration,
                operations,
                network,
                membership,
                diagnostics,
                () -> started.get() && !leaving.get(),
                metrics));
  }

  private PeerNetwork newNetwork(VmIdentity identity) {
    return new PeerNetwork(
        environment.eventLoops(),
        Payloads.toWire(identity),
        PeerTiming.DEFAULT,
        environment.nanoClock(),
        hybridClock,
        environment.shaping());
  }

  private boolean isWatcher(VmIdentity self) {
    return !leaving.get() && membership.topology().isWatcher(self);
  }

  /**
   * Returns the objects shared by the components.
   *
   * @return the context; null before {@link #start}
   */
  public NodeContext context() {
    return context;
  }

  /**
   * Returns the address for peers.
   *
   * @return address with the actual port
   */
  public HostPort peerAddress() {
    return context.self().address();
  }

  /**
   * Returns the address of the admin server.
   *
   * @return address with the actual port
   */
  public HostPort adminAddress() {
    return admin.address();
  }

  /**
   * Stops gracefully: announces that this process is leaving, drains the components in reverse
   * order, and closes the node. Further calls have no effect.
   */
  public void stop() {
    if (!leaving.compareAndSet(false, true)) {
      return;
    }
    context.timeline().record(EventKind.PROCESS_LEAVING);
    final CompletableFuture<Void> leaveNotices =
        CompletableFuture.allOf(membership.leave(), lease.stop());
    long deadline =
        environment.nanoClock().nanoTime()
            + TimeUnit.MILLISECONDS.toNanos(settings.drainTimeoutMs());
    List<NodeComponent> reversed = new ArrayList<>(components);
    Collections.reverse(reversed);
    for (NodeComponent component : reversed) {
      await(component.drain(), deadline);
    }
    await(
        leaveNotices,
        Math.min(deadline, environment.nanoClock().nanoTime() + LEAVE_NOTICE_TIMEOUT_NANOS));
    context.timeline().record(EventKind.PROCESS_STOPPED);
    close();
  }

  private void await(CompletableFuture<Void> future, long deadlineNanos) {
    try {
      long remainingNanos = Math.max(0, deadlineNanos - environment.nanoClock().nanoTime());
      future.get(remainingNanos, TimeUnit.NANOSECONDS);
    } catch (TimeoutException e) {
      LOG.warn("graceful stop timed out; aborting work in flight");
    } catch (ExecutionException e) {
      LOG.warn("a step of the graceful stop failed; continuing to stop", e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void close() {
    if (vmList != null) {
      platformWatch.stop();
      vmList.stop();
      membership.stop();
      lease.stop();
    }
    List<NodeComponent> reversed = new ArrayList<>(components);
    Collections.reverse(reversed);
    reversed.forEach(NodeComponent::close);
    if (admin != null) {
      admin.close();
    }
    if (network != null) {
      network.close();
    }
    httpClient.close();
  }
}
