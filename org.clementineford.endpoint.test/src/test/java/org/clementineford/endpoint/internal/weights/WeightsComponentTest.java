package org.clementineford.endpoint.internal.weights;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.kernel.timeline.EventKind;
import org.clementineford.testing.VirtualTime;
import org.clementineford.transport.EventLoopScheduler;
import org.clementineford.weights.Manifest;
import org.clementineford.weights.TransferLimits;
import org.clementineford.wire.ActivateOrder;
import org.clementineford.wire.OrderReply;
import org.clementineford.wire.OriginPermit;
import org.clementineford.wire.Payload;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WeightsComponentTest {
  private static final int LENGTH = 1050;

  /** Limits with timeouts that are long enough for answers of peers on a busy machine. */
  private static final TransferLimits LONG_TIMEOUTS =
      new TransferLimits(
          4,
          4,
          2,
          2,
          4,
          4,
          24,
          TimeUnit.SECONDS.toNanos(1),
          TimeUnit.SECONDS.toNanos(1),
          TimeUnit.SECONDS.toNanos(30),
          0,
          TimeUnit.SECONDS.toNanos(1));

  private static final TransferLimits LONG_TIMEOUTS_WITH_FREQUENT_MAPS =
      new TransferLimits(
          4,
          4,
          2,
          2,
          4,
          4,
          24,
          TimeUnit.MILLISECONDS.toNanos(50),
          TimeUnit.SECONDS.toNanos(5),
          TimeUnit.SECONDS.toNanos(30),
          0,
          TimeUnit.SECONDS.toNanos(5));

  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final VirtualTime time = new VirtualTime(0);
  private final MemoryOrigin origin = new MemoryOrigin();
  private final WeightsTestNode.RecordingEngine engine = new WeightsTestNode.RecordingEngine();

  @BeforeEach
  void publish() {
    origin.publish("v1", LENGTH);
    origin.publish("v2", LENGTH);
  }

  @AfterEach
  void stop() {
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Nested
  class SingleNode {
    private WeightsTestNode node;

    @BeforeEach
    void start() throws Exception {
      node =
          new WeightsTestNode(
              "vm-1",
              eventLoops,
              time,
              time,
              origin,
              engine,
              Runnable::run,
              TransferLimits.DEFAULT);
      node.setTarget(7, "v1", false);
    }

    @AfterEach
    void close() {
      node.close();
    }

    private OrderReply order(long revision, long fencingNumber, String version) throws Exception {
      Manifest manifest = origin.manifestOf(version);
      ActivateOrder order =
          new ActivateOrder(
              WeightsTestNode.MODEL,
              version,
              manifest.address(),
              revision,
              fencingNumber,
              "entry-1");
      return node.context()
          .network()
          .call(node.context().self().address(), Payload.activateOrder(order))
          .get(5, TimeUnit.SECONDS)
          .getOrderReply();
    }

    // Guards against a configuration document that is accepted but does not take effect while the
    // platform is down.
    @Test
    void activatesAfterFifteenSecondsWithoutAnOrder() {
      time.advance(14, TimeUnit.SECONDS);
      assertThat(node.servedVersion()).isEmpty();
      time.advance(2, TimeUnit.SECONDS);
      assertThat(node.servedVersion()).hasValue("v1");
    }

    // Guards against activation while the operator has paused the rollout.
    @Test
    void loadsNothingWhilePaused() {
      node.setTarget(8, "v1", true);
      time.advance(60, TimeUnit.SECONDS);
      assertThat(engine.orders()).isEmpty();
      node.setTarget(9, "v1", false);
      time.advance(60, TimeUnit.SECONDS);
      assertThat(node.servedVersion()).hasValue("v1");
    }

    // Guards against routing to an engine that loaded other weights than ordered.
    @Test
    void doesNotServeWeightsWithAnotherDigest() throws Exception {
      engine.setReportedDigest("0".repeat(64));
      assertThat(order(7, 1, "v1").isAccepted()).isFalse();
      assertThat(node.servedVersion()).isEmpty();
      assertThat(node.context().timeline().after(0, 1000))
          .anyMatch(event -> event.kind() == EventKind.ACTIVATION_FAILED);
    }

    // Guards against orders of a lease holder that was paused and lost its lease meanwhile.
    @Test
    void refusesOrdersOfEarlierLeaseHolder() throws Exception {
      assertThat(order(7, 2, "v1").isAccepted()).isTrue();
      OrderReply reply = order(7, 1, "v1");
      assertThat(reply.isAccepted()).isFalse();
      assertThat(reply.getHighestFencingNumber()).isEqualTo(2);
    }

    // Guards against origin reads that a former lease holder permits.
    @Test
    void refusesPermitsOfEarlierLeaseHolder() throws Exception {
      order(7, 2, "v1");
      assertThat(permit(1).isAccepted()).isFalse();
      assertThat(permit(2).isAccepted()).isTrue();
    }

    private OrderReply permit(long fencingNumber) throws Exception {
      OriginPermit permit =
          new OriginPermit(
              origin.manifestOf("v1").address(), 7, fencingNumber, List.of(0, 1), "entry-1");
      return node.context()
          .network()
          .call(node.context().self().address(), Payload.originPermit(permit))
          .get(5, TimeUnit.SECONDS)
          .getOrderReply();
    }

    // Guards against an engine that refuses a rollback because the order number did not increase.
    @Test
    void ordersRollbackWithIncreasingNumbers() throws Exception {
      order(7, 1, "v1");
      node.setTarget(8, "v2", false);
      order(8, 1, "v2");
      node.setTarget(9, "v1", false);
      order(9, 1, "v1");
      assertThat(node.servedVersion()).hasValue("v1");
      assertThat(engine.orders()).extracting(o -> o.version()).containsExactly("v1", "v2", "v1");
      assertThat(engine.orders())
          .extracting(o -> o.fencingNumber())
          .isSorted()
          .doesNotHaveDuplicates();
    }

    // Guards against an engine that stays empty after it was restarted.
    @Test
    void loadsAgainIntoRestartedEngine() throws Exception {
      order(7, 1, "v1");
      engine.restart();
      time.advance(10, TimeUnit.SECONDS);
      assertThat(engine.orders()).hasSize(2);
      time.advance(60, TimeUnit.SECONDS);
      assertThat(engine.orders()).hasSize(2);
    }

    // Guards against reading chunks from the origin that are still in memory.
    @Test
    void reusesHeldChunksOnRollback() throws Exception {
      order(7, 1, "v1");
      node.setTarget(8, "v2", false);
      node.setTarget(9, "v1", false);
      assertThat(origin.bytesRead()).isLessThanOrEqualTo(2 * LENGTH);
    }
  }

  // Guards against a VM that joins after the burst and reads chunks from the origin that its peers
  // hold.
  @Test
  void lateVmReadsNothingFromTheOrigin() throws Exception {
    EventLoopScheduler scheduler = new EventLoopScheduler(eventLoops);
    try (WeightsTestNode first =
            new WeightsTestNode(
                "vm-1",
                eventLoops,
                scheduler,
                SystemNanoClock.INSTANCE,
                origin,
                engine,
                Runnable::run,
                LONG_TIMEOUTS);
        WeightsTestNode late =
            new WeightsTestNode(
                "vm-2",
                eventLoops,
                scheduler,
                SystemNanoClock.INSTANCE,
                origin,
                engine,
                Runnable::run,
                TransferLimits.DEFAULT)) {
      first.setTarget(1, "v1", false);
      first.setMembers(List.of(first, late));
      late.setMembers(List.of(first, late));
      CountDownLatch served = new CountDownLatch(1);
      late.served().onChange(version -> served.countDown());
      late.setTarget(1, "v1", false);
      orderUntilServed(served, List.of(first, late));
      assertThat(origin.bytesRead()).isEqualTo(LENGTH);
    }
  }

  // Guards against reads of the origin while the answer of a peer that holds the chunks is on its
  // way.
  @Test
  void lateVmWaitsForTheMapOfBusyPeer() throws Exception {
    EventLoopGroup peerLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    EventLoopScheduler scheduler = new EventLoopScheduler(eventLoops);
    TransferLimits patient = LONG_TIMEOUTS_WITH_FREQUENT_MAPS;
    try (WeightsTestNode first =
            node("vm-1", peerLoops, new EventLoopScheduler(peerLoops), patient);
        WeightsTestNode late = node("vm-2", eventLoops, scheduler, patient)) {
      first.setTarget(1, "v1", false);
      first.setMembers(List.of(first, late));
      late.setMembers(List.of(first, late));
      CountDownLatch released = new CountDownLatch(1);
      peerLoops.execute(() -> awaitUninterruptibly(released));
      late.setTarget(1, "v1", false);
      // Four intervals of the chunk maps.
      Thread.sleep(200);
      released.countDown();
      CountDownLatch served = new CountDownLatch(1);
      late.served().onChange(version -> served.countDown());
      orderUntilServed(served, List.of(first, late));
      assertThat(origin.bytesRead()).isEqualTo(LENGTH);
    } finally {
      peerLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private WeightsTestNode node(
      String name, EventLoopGroup loops, EventLoopScheduler scheduler, TransferLimits limits)
      throws Exception {
    return new WeightsTestNode(
        name, loops, scheduler, SystemNanoClock.INSTANCE, origin, engine, Runnable::run, limits);
  }

  private static void awaitUninterruptibly(CountDownLatch released) {
    try {
      released.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void orderUntilServed(CountDownLatch served, List<WeightsTestNode> nodes)
      throws Exception {
    ActivateOrder order =
        new ActivateOrder(
            WeightsTestNode.MODEL, "v1", origin.manifestOf("v1").address(), 1, 1, "entry-1");
    while (served.getCount() > 0) {
      for (WeightsTestNode node : nodes) {
        node.context()
            .network()
            .call(node.context().self().address(), Payload.activateOrder(order))
            .get(5, TimeUnit.SECONDS);
      }
      served.await(20, TimeUnit.MILLISECONDS);
    }
  }

  // Guards against VMs that together read more than one copy from the origin, or never complete
  // their copy.
  @Test
  void threeVmsServeTheVersionAfterReadingTheOriginOnce() throws Exception {
    List<WeightsTestNode> nodes = new ArrayList<>();
    try {
      for (int i = 1; i <= 3; i++) {
        nodes.add(
            new WeightsTestNode(
                "vm-" + i,
                eventLoops,
                new EventLoopScheduler(eventLoops),
                SystemNanoClock.INSTANCE,
                origin,
                engine,
                Runnable::run,
                TransferLimits.DEFAULT));
      }
      nodes.forEach(node -> node.setMembers(nodes));
      CountDownLatch served = new CountDownLatch(nodes.size());
      for (WeightsTestNode node : nodes) {
        node.served().onChange(version -> served.countDown());
        node.setTarget(1, "v1", false);
      }
      orderUntilServed(served, nodes);
      assertThat(nodes).allMatch(node -> node.servedVersion().equals(java.util.Optional.of("v1")));
      assertThat(origin.bytesRead()).isEqualTo(LENGTH);
    } finally {
      nodes.forEach(WeightsTestNode::close);
    }
  }
}
