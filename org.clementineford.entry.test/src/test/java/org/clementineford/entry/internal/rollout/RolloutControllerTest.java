package org.clementineford.entry.internal.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.configuration.ConfigurationSnapshot;
import org.clementineford.configuration.ModelSpecification;
import org.clementineford.configuration.Policies;
import org.clementineford.kernel.DistributionPolicy;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.timeline.HybridLogicalClock;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.node.ConfigurationView;
import org.clementineford.node.MembershipView;
import org.clementineford.node.NodeContext;
import org.clementineford.node.PayloadRouter;
import org.clementineford.node.SharedServices;
import org.clementineford.testing.VirtualTime;
import org.clementineford.transport.IncomingExchange;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.Payloads;
import org.clementineford.transport.PeerNetwork;
import org.clementineford.transport.PeerTiming;
import org.clementineford.wire.ActivateOrder;
import org.clementineford.wire.ChunkMap;
import org.clementineford.wire.OrderReply;
import org.clementineford.wire.Payload;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RolloutControllerTest {
  private static final HostPort ANY = new HostPort("127.0.0.1", 0);
  private static final int ENDPOINTS = 8;

  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final VirtualTime time = new VirtualTime(0);
  private final PayloadRouter router = new PayloadRouter();
  private final List<PeerNetwork> networks = new ArrayList<>();
  private final List<MembershipView.Member> members = new ArrayList<>();
  private final BlockingQueue<Received> received = new LinkedBlockingQueue<>();
  private volatile OptionalLong fencingNumber = OptionalLong.empty();
  private RolloutController controller;

  @BeforeEach
  void start() throws Exception {
    for (int i = 1; i <= ENDPOINTS; i++) {
      PeerNetwork network = network("vm-" + i, VmRole.ENDPOINT);
      network.setHandler(
          (opening, exchange) -> received.add(new Received(opening.getActivateOrder(), exchange)));
      HostPort address = network.listen(ANY);
      members.add(
          new MembershipView.Member(
              new VmIdentity("vm-" + i, VmRole.ENDPOINT, "dc-1", "lorient", 1, address),
              MembershipView.Phase.ALIVE));
    }
    controller = new RolloutController(context());
    controller.start();
  }

  @AfterEach
  void stop() {
    controller.close();
    networks.forEach(PeerNetwork::close);
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private PeerNetwork network(String vm, VmRole role) {
    VmIdentity self = new VmIdentity(vm, role, "dc-1", "lorient", 1, ANY);
    PeerNetwork network =
        new PeerNetwork(
            eventLoops,
            Payloads.toWire(self),
            PeerTiming.DEFAULT,
            SystemNanoClock.INSTANCE,
            LinkShaping.NONE);
    networks.add(network);
    return network;
  }

  private NodeContext context() {
    VmIdentity self = new VmIdentity("entry-1", VmRole.ENTRY, "dc-1", "lorient", 1, ANY);
    ModelSpecification model =
        new ModelSpecification("assistant", "v1", DistributionPolicy.SHORTEST_TIME, false);
    ConfigurationSnapshot snapshot =
        new ConfigurationSnapshot(
            7,
            Map.of("assistant", model),
            Map.of(),
            Map.of(),
            Set.of(),
            Set.of(),
            Policies.DEFAULT);
    return new NodeContext(
        self,
        eventLoops,
        time,
        time,
        time.epochClock(),
        network("entry-1", VmRole.ENTRY),
        router,
        new ConfigurationView() {
          @Override
          public ConfigurationSnapshot current() {
            return snapshot;
          }

          @Override
          public void onChange(Consumer<ConfigurationSnapshot> listener) {}
        },
        new MembershipView() {
          @Override
          public List<Member> members() {
            return members;
          }

          @Override
          public void onChange(Consumer<List<Member>> listener) {}
        },
        () -> fencingNumber,
        null,
        null,
        new Timeline(new HybridLogicalClock(time.epochClock()), "entry-1", 1, 100),
        new SharedServices(),
        new PrometheusRegistry());
  }

  private void reportCompleteCopy(int endpoint) {
    VmIdentity vm = members.get(endpoint).identity();
    ChunkMap map = new ChunkMap();
    map.setSender(Payloads.toWire(vm));
    map.setModel("assistant");
    map.setVersion("v1");
    map.setManifestDigest("address");
    map.setBitmap(new byte[0]);
    map.setWhole(true);
    router.onOpen(Payload.chunkMap(map), new IgnoredExchange());
  }

  private Received nextOrder() throws InterruptedException {
    return received.poll(5, TimeUnit.SECONDS);
  }

  // Guards against orders from a process that does not hold the lease.
  @Test
  void ordersOnlyWhileHoldingTheLease() throws Exception {
    reportCompleteCopy(0);
    time.advance(5, TimeUnit.SECONDS);
    fencingNumber = OptionalLong.of(3);
    time.advance(1, TimeUnit.SECONDS);
    ActivateOrder first = nextOrder().order();
    assertThat(first.getFencingNumber()).isEqualTo(3);
    assertThat(first.getDocumentRevision()).isEqualTo(7);
  }

  // Guards against more than a quarter of the endpoint VMs loading at the same time.
  @Test
  void waitsForOneVmToServeBeforeItOrdersTheNext() throws Exception {
    fencingNumber = OptionalLong.of(1);
    for (int i = 0; i < ENDPOINTS; i++) {
      reportCompleteCopy(i);
    }
    final Received first = nextOrder();
    nextOrder();
    time.advance(5, TimeUnit.SECONDS);
    assertThat(received).isEmpty();
    first.exchange().finish(Payload.orderReply(new OrderReply(true, 1, 7, "serving")));
    assertThat(nextOrder()).isNotNull();
    assertThat(received).isEmpty();
  }

  private record Received(ActivateOrder order, IncomingExchange exchange) {}

  private static final class IgnoredExchange implements IncomingExchange {
    @Override
    public org.clementineford.transport.PeerInfo peer() {
      return new org.clementineford.transport.PeerInfo(null, 0);
    }

    @Override
    public void send(Payload payload) {}

    @Override
    public void finish(Payload payload) {}

    @Override
    public void onCancel(Runnable action) {}

    @Override
    public void onPayload(Consumer<Payload> receiver) {}

    @Override
    public boolean isWritable() {
      return true;
    }

    @Override
    public void onWritable(Runnable action) {}
  }
}
