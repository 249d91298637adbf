package org.clementineford.node;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.clementineford.configuration.DocumentEdit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.settings.Settings;
import org.clementineford.node.internal.ConfigurationAgent;
import org.clementineford.node.internal.DocumentOperations;
import org.clementineford.platform.HttpObjectStore;
import org.clementineford.platform.HttpVmList;
import org.clementineford.standins.ObjectApiStandIn;
import org.clementineford.standins.StandInContext;
import org.clementineford.testing.VirtualTime;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;

/** Nodes connected over loopback sockets, with timers on a clock that the test advances. */
final class TestFleet implements AutoCloseable {
  static final long EPOCH_MS = 1_796_000_000_000L;

  // Each round lets the event loops do the I/O that the timers of one step caused.
  private static final int MAX_ROUNDS = 20_000;
  private static final long STEP_MS = 20;

  final VirtualTime time = new VirtualTime(EPOCH_MS);
  final ObjectApiStandIn platform;
  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final HttpClient client = new HttpClient(eventLoops, LinkShaping.NONE);
  private final List<Node> nodes = new ArrayList<>();

  TestFleet() throws Exception {
    platform = new ObjectApiStandIn(StandInContext.onLoopback(eventLoops, 1), 0);
    platform.start();
  }

  Node entry(String vm, String dataCentre, Node... seeds) throws Exception {
    return start(vm, VmRole.ENTRY, dataCentre, 0, 0, seeds);
  }

  Node endpoint(String vm, String dataCentre, Node... seeds) throws Exception {
    return start(vm, VmRole.ENDPOINT, dataCentre, 0, 0, seeds);
  }

  Node start(
      String vm,
      VmRole role,
      String dataCentre,
      long incarnation,
      long clockOffsetMs,
      Node... seeds)
      throws Exception {
    HostPort any = new HostPort("127.0.0.1", 0);
    long chosen = incarnation == 0 ? EPOCH_MS : incarnation;
    Node node =
        unstarted(
            new NodeSettings(
                new VmIdentity(vm, role, dataCentre, "region", chosen, any),
                any,
                platform.address(),
                Arrays.stream(seeds).map(Node::peerAddress).toList(),
                1000),
            clockOffsetMs);
    node.start(List.of(), Settings.read(List.of(), new String[0], Map.of()));
    nodes.add(node);
    return node;
  }

  /** Creates a node that the test starts and stops. */
  Node unstarted(NodeSettings settings, long clockOffsetMs) {
    return new Node(
        settings,
        new NodeEnvironment(
            eventLoops,
            time,
            time,
            () -> time.epochClock().time() + clockOffsetMs,
            LinkShaping.NONE,
            HttpObjectStore::new,
            HttpVmList::new));
  }

  /** Advances the time until a condition holds or the rounds run out; returns whether it holds. */
  boolean advanceUntil(BooleanSupplier condition) {
    for (int i = 0; i < MAX_ROUNDS && !condition.getAsBoolean(); i++) {
      time.advance(STEP_MS, TimeUnit.MILLISECONDS);
      eventLoops.forEach(loop -> loop.submit(() -> {}).syncUninterruptibly());
    }
    return condition.getAsBoolean();
  }

  boolean advanceUntilRevision(long revision, Node... waiting) {
    return advanceUntil(() -> Arrays.stream(waiting).allMatch(node -> revision(node) == revision));
  }

  static long revision(Node node) {
    return node.context().configuration().current().revision();
  }

  static DocumentEdit edit(String identity, long base, String version) {
    return new DocumentEdit(
        identity, "models", "weights", base, "models: {assistant: {version: " + version + "}}");
  }

  CompletableFuture<DocumentEdit.Result> apply(Node node, DocumentEdit edit) {
    DocumentOperations operations =
        new DocumentOperations(
            new HttpObjectStore(client, platform.address()),
            (ConfigurationAgent) node.context().configuration(),
            time,
            time,
            time.epochClock(),
            node.context().timeline());
    CompletableFuture<DocumentEdit.Result> result = operations.apply(edit);
    advanceUntil(result::isDone);
    return result;
  }

  /** Lets the event loops do nothing until the latch is released. */
  void holdEventLoops(CountDownLatch released) {
    eventLoops.forEach(loop -> loop.execute(() -> awaitUninterruptibly(released)));
  }

  private static void awaitUninterruptibly(CountDownLatch released) {
    try {
      released.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  void stop(Node node) {
    nodes.remove(node);
    node.stop();
  }

  @Override
  public void close() {
    nodes.forEach(Node::stop);
    client.close();
    platform.close();
    eventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }
}
