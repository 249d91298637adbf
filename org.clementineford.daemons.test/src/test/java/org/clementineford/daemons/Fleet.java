package org.clementineford.daemons;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementineford.bench.quickstart.Traffic;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.platform.ModelEngine.LoadedVersion;
import org.clementineford.standins.EngineOptions;
import org.clementineford.standins.EngineStandIn;
import org.clementineford.standins.HttpStandIn;
import org.clementineford.standins.ObjectApiStandIn;
import org.clementineford.standins.OriginStandIn;
import org.clementineford.standins.ServiceStandIn;
import org.clementineford.standins.StandInContext;
import org.clementineford.testing.FreePorts;
import org.clementineford.transport.EventLoopScheduler;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;

/** Two entry VMs, three endpoint VMs and all stand-ins in one process over loopback. */
final class Fleet implements AutoCloseable {
  static final String TOKEN = "lorient-token";
  static final int LENGTH = 2 << 20;
  static final int CHUNK_LENGTH = 128 << 10;
  static final int ENDPOINTS = 3;
  private static final long SEED = 1;

  final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  final Scheduler scheduler = new EventLoopScheduler(eventLoops);
  final Await await = new Await(scheduler);
  final HttpClient client = new HttpClient(eventLoops, LinkShaping.NONE);
  final Map<String, String> digests = new HashMap<>();
  final List<EngineStandIn> engines = new ArrayList<>();
  final List<TestNode> entries = new ArrayList<>();
  final List<TestNode> endpoints = new ArrayList<>();
  final List<HostPort> callerAddresses = new ArrayList<>();
  final ObjectApiStandIn platform;
  final OriginStandIn origin;
  final ServiceStandIn service;
  private final List<HttpStandIn> standIns = new ArrayList<>();
  private final Map<String, Long> revisions = new HashMap<>();

  Fleet(EngineOptions engineOptions) throws Exception {
    StandInContext context = StandInContext.onLoopback(eventLoops, SEED);
    platform = started(new ObjectApiStandIn(context, 0));
    origin = started(new OriginStandIn(context, 0));
    service = started(new ServiceStandIn(context));
    for (String version : List.of("v1", "v2")) {
      digests.put(version, origin.publish("assistant", version, LENGTH, CHUNK_LENGTH).digest());
    }
    for (int i = 1; i <= 2; i++) {
      addEntry("entry-" + i);
    }
    for (int i = 1; i <= ENDPOINTS; i++) {
      EngineStandIn engine = started(new EngineStandIn(context, engineOptions));
      engines.add(engine);
      endpoints.add(endpoint("endpoint-" + i, engine));
    }
  }

  /** Starts an entry VM and returns its address for callers. */
  HostPort addEntry(String vm) throws Exception {
    HostPort callers = FreePorts.find();
    entries.add(node(VmRole.ENTRY, vm, "--http-address", callers.toString()));
    callerAddresses.add(callers);
    return callers;
  }

  TestNode endpoint(String vm, EngineStandIn engine) throws Exception {
    return node(
        VmRole.ENDPOINT,
        vm,
        "--origin",
        "http://" + origin.address(),
        "--engines",
        "assistant=http://" + engine.address(),
        "--services",
        "reservations=http://" + service.address(),
        "--weights-area-mib",
        "32");
  }

  private TestNode node(VmRole role, String vm, String... more) throws Exception {
    List<String> arguments =
        new ArrayList<>(
            List.of(
                "--vm",
                vm,
                "--data-centre",
                "lorient",
                "--region",
                "brittany",
                "--platform",
                "http://" + platform.address(),
                "--seeds",
                String.join(",", entries.stream().map(e -> e.peerAddress().toString()).toList())));
    arguments.addAll(List.of(more));
    return new TestNode(role, arguments);
  }

  private <T extends HttpStandIn> T started(T standIn) throws Exception {
    standIn.start();
    standIns.add(standIn);
    return standIn;
  }

  /** Accepts accounts, services and a first version, and waits until it is served everywhere. */
  void serve(String version) throws Exception {
    byte[] token =
        MessageDigest.getInstance("SHA-256").digest(TOKEN.getBytes(StandardCharsets.UTF_8));
    change(
        "accounts",
        "clientAccounts:\n  lorient-warehouse: {weight: 3, tokenSha256: "
            + HexFormat.of().formatHex(token)
            + "}\nservices:\n  reservations: {costTokens: 50}\n");
    order(version);
    awaitServed(version, engines);
    for (HostPort entry : callerAddresses) {
      Traffic probes = traffic("probe-" + entry.port(), callerAddresses);
      await.until(
          "entry VM answers",
          20,
          () -> {
            probes.lookUp(entry, "probe", true);
            return probes.lookups().answeredCount() > 0;
          });
    }
  }

  void order(String version) throws Exception {
    change(
        "models",
        "models:\n  assistant: {version: " + version + ", policy: FEWEST_ORIGIN_BYTES}\n");
  }

  HttpResponse change(String section, String text) throws Exception {
    long base = revisions.getOrDefault(section, 0L);
    DocumentChange change =
        new DocumentChange("test-" + section + "-" + base, section, section, base, text);
    HttpResponse answer = Await.value(change.send(client, entries.get(0).adminAddress()));
    if (answer.status() != 200) {
      throw new AssertionError("the change failed: " + text(answer));
    }
    String marker = "\"revision\":";
    String body = text(answer);
    String rest = body.substring(body.indexOf(marker) + marker.length());
    revisions.put(section, Long.parseLong(rest.split("[,}]", 2)[0]));
    return answer;
  }

  void awaitServed(String version, List<EngineStandIn> by) throws Exception {
    await.until(
        version + " is served",
        40,
        () ->
            by.stream()
                .allMatch(
                    engine -> {
                      LoadedVersion loaded = engine.loaded();
                      return loaded != null
                          && loaded.version().equals(version)
                          && loaded.digest().equals(digests.get(version));
                    }));
  }

  Traffic traffic(String run, List<HostPort> to) {
    return new Traffic(client, scheduler, to, TOKEN, digests, run);
  }

  void awaitEnded(Traffic traffic) throws Exception {
    await.until("all requests ended", 25, traffic::allEnded);
  }

  /** Waits on the system's time while requests go on. */
  void run(long milliseconds) throws Exception {
    var done = new java.util.concurrent.CompletableFuture<Void>();
    scheduler.schedule(() -> done.complete(null), milliseconds, TimeUnit.MILLISECONDS);
    done.get(milliseconds + 10_000, TimeUnit.MILLISECONDS);
  }

  /** Reads a path without blocking; the status is set when the answer arrives. */
  void readStatus(HostPort address, String target, AtomicInteger status) {
    client
        .call(address, new HttpRequest("GET", target, Map.of(), new byte[0]), 5000)
        .thenAccept(answer -> status.set(answer.status()));
  }

  static String text(HttpResponse answer) {
    return new String(answer.body(), StandardCharsets.UTF_8);
  }

  @Override
  public void close() {
    entries.forEach(TestNode::kill);
    endpoints.forEach(TestNode::kill);
    client.close();
    standIns.forEach(HttpStandIn::close);
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
