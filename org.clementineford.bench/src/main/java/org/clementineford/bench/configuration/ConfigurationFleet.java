package org.clementineford.bench.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.configuration.DocumentEdit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.settings.Settings;
import org.clementineford.node.Node;
import org.clementineford.node.NodeEnvironment;
import org.clementineford.node.NodeSettings;
import org.clementineford.platform.HttpObjectStore;
import org.clementineford.platform.HttpVmList;
import org.clementineford.standins.ObjectApiStandIn;
import org.clementineford.standins.StandInContext;
import org.clementineford.transport.EventLoopScheduler;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;

/** Nodes of three data centres in this process, connected over loopback sockets. */
final class ConfigurationFleet implements AutoCloseable {
  private static final int DATA_CENTRES = 3;
  private static final int ENTRIES_PER_DATA_CENTRE = 3;
  private static final long CALL_TIMEOUT_MS = 12_000;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final EventLoopGroup eventLoops;
  private final ObjectApiStandIn platform;
  private final HttpClient client;
  private final List<Node> nodes = new ArrayList<>();
  private final List<TrafficCounter> traffic = new ArrayList<>();
  private final RevisionLog log;
  private final BooleanSupplier cut;

  private ConfigurationFleet(int threads, BooleanSupplier cut, RevisionLog log) {
    this.eventLoops = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
    this.platform = new ObjectApiStandIn(StandInContext.onLoopback(eventLoops, 1), 0);
    this.client = new HttpClient(eventLoops, LinkShaping.NONE);
    this.cut = cut;
    this.log = log;
  }

  static ConfigurationFleet start(int processes, int threads, BooleanSupplier cut, RevisionLog log)
      throws ClementinefordException {
    ConfigurationFleet fleet = new ConfigurationFleet(threads, cut, log);
    fleet.platform.start();
    for (int i = 0; i < processes; i++) {
      fleet.startNode(i);
    }
    return fleet;
  }

  private void startNode(int index) throws ClementinefordException {
    int dataCentre = index % DATA_CENTRES;
    boolean entry = index / DATA_CENTRES < ENTRIES_PER_DATA_CENTRE;
    VmIdentity identity =
        new VmIdentity(
            (entry ? "entry-" : "endpoint-") + index,
            entry ? VmRole.ENTRY : VmRole.ENDPOINT,
            "data-centre-" + dataCentre,
            "region-" + dataCentre,
            SystemEpochClock.INSTANCE.time(),
            new HostPort("127.0.0.1", 0));
    List<HostPort> seeds = nodes.stream().limit(2L * DATA_CENTRES).map(Node::peerAddress).toList();
    TrafficCounter counter = new TrafficCounter();
    Node node =
        new Node(
            new NodeSettings(
                identity, new HostPort("127.0.0.1", 0), platform.address(), seeds, 1000),
            new NodeEnvironment(
                eventLoops,
                new EventLoopScheduler(eventLoops),
                SystemNanoClock.INSTANCE,
                SystemEpochClock.INSTANCE,
                counter,
                (http, address) -> new CutStore(new HttpObjectStore(http, address), cut),
                HttpVmList::new));
    node.start(List.of(), Settings.read(List.of(), new String[0], Map.of()));
    node.context().configuration().onChange(snapshot -> log.inForce(index, snapshot.revision()));
    nodes.add(node);
    traffic.add(counter);
  }

  List<Node> nodes() {
    return nodes;
  }

  List<Node> entries() {
    return nodes.stream().filter(node -> node.context().self().role() == VmRole.ENTRY).toList();
  }

  ObjectApiStandIn platform() {
    return platform;
  }

  List<Long> trafficBytes() {
    return traffic.stream().map(TrafficCounter::total).toList();
  }

  long platformCalls() {
    return platform.counters().all().entrySet().stream()
        .filter(entry -> List.of("get", "put", "delete", "watch", "list").contains(entry.getKey()))
        .mapToLong(Map.Entry::getValue)
        .sum();
  }

  /** Waits until every node knows every other one. */
  void awaitMembership(long timeoutMs) {
    await(
        () ->
            nodes.stream()
                .allMatch(node -> node.context().membership().members().size() == nodes.size()),
        timeoutMs);
  }

  /**
   * Makes a change through the admin server of a node.
   *
   * @return revision that the change made
   */
  long change(Node entry, DocumentEdit edit) throws Exception {
    HttpResponse response =
        client
            .call(
                entry.adminAddress(),
                new HttpRequest("POST", "/document/apply", Map.of(), JSON.writeValueAsBytes(edit)),
                CALL_TIMEOUT_MS)
            .get();
    if (response.status() != 200) {
      throw new IllegalStateException(
          "change refused with status " + response.status() + ": " + new String(response.body()));
    }
    JsonNode answer = JSON.readTree(response.body());
    return answer.path("change").path("revision").asLong();
  }

  static boolean await(BooleanSupplier condition, long timeoutMs) {
    long deadline = SystemNanoClock.INSTANCE.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    while (!condition.getAsBoolean()) {
      if (SystemNanoClock.INSTANCE.nanoTime() - deadline > 0) {
        return false;
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
    }
    return true;
  }

  static void pause(long millis) {
    await(() -> false, millis);
  }

  @Override
  public void close() {
    nodes.parallelStream().forEach(Node::stop);
    client.close();
    platform.close();
    eventLoops.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }
}
