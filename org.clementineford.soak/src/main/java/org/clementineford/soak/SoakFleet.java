package org.clementineford.soak;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.platform.standin.ModelServer;
import org.clementineford.platform.standin.ObjectStoreServer;
import org.clementineford.platform.standin.OriginServer;
import org.clementineford.platform.standin.PlainServer;
import org.clementineford.platform.standin.PlatformFiles;
import org.clementineford.platform.standin.RunRecorder;
import org.clementineford.platform.standin.ServerConfiguration;
import org.clementineford.platform.standin.Weights;
import org.clementineford.standins.StandInContext;
import org.clementineford.transport.EventLoopScheduler;

/** The programs of a small fleet, and stand-ins for all that surrounds them. */
final class SoakFleet implements AutoCloseable {
  static final String HOST = "soak.example";

  /** Time in which the platform expects a program to end after SIGTERM, in milliseconds. */
  static final long STOP_MS = 8_000;

  /** Time after which requests with a removed key may no longer run, in milliseconds. */
  static final long KEY_MS = 5_000;

  /** Repeats allowed for each request, and the fixed number allowed besides, by window. */
  static final double REPEAT_RATIO = 0.2;

  static final double REPEAT_FIXED = 60;

  private static final double REPEAT_WINDOW_SECONDS = 10;

  /** Most addresses of other VMs in the settings of one. */
  private static final int MOST_SEEDS = 3;

  private static final int PLAIN_SERVERS = 2;
  private static final int THREADS = 3;
  private static final int SLOTS = 8;
  private static final int STORE_PORT = 8_007;
  private static final int SERVER_PORT = 9_000;
  private static final String ENGINES = "engines";
  private static final String PLAIN = "plain";
  private static final Weights WEIGHTS = new Weights("m", 24, 8_192);

  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
  private final NanoClock clock;
  private final EpochClock wallClock;
  private final String network;
  private final HostPort storeAddress;
  private final HostPort originAddress;
  private final Path directory;
  private final RunRecorder ledger = new RunRecorder();
  private final ObjectStoreServer store;
  private final OriginServer origin;
  private final List<Program> entries = new ArrayList<>();
  private final List<Program> endpoints = new ArrayList<>();
  private final List<ModelServer> engines = new ArrayList<>();
  private final List<PlainServer> servers = new ArrayList<>();
  private final Map<String, LinkProxy> storeLinks = new LinkedHashMap<>();
  private final List<LinkProxy> serverLinks = new ArrayList<>();
  private final Map<PlainServer, String> listed = new ConcurrentHashMap<>();
  private final Set<String> ended = ConcurrentHashMap.newKeySet();
  private final Map<String, String> accounts = new ConcurrentHashMap<>();
  private long configurationVersion;
  private volatile long weightVersion;

  /**
   * Starts stand-ins.
   *
   * @param block number from 1 to 250 of the loopback addresses to use
   * @param size numbers of VMs
   * @param directory where settings and logs are written
   * @param seed seed of what stand-ins do at random
   * @param clock monotonic clock
   * @param wallClock clock that servers state their start by
   */
  SoakFleet(
      int block, FleetSize size, Path directory, long seed, NanoClock clock, EpochClock wallClock)
      throws ClementinefordException {
    this.network = "127." + block + ".";
    this.directory = directory;
    this.clock = clock;
    this.wallClock = wallClock;
    storeAddress = new HostPort(network + "0.250", STORE_PORT);
    originAddress = new HostPort(network + "0.251", STORE_PORT);
    store = new ObjectStoreServer(context(storeAddress, seed));
    origin = new OriginServer(context(originAddress, seed), WEIGHTS);
    Callers.KEYS.forEach(key -> accounts.put(key, account(key)));
    writeConfiguration();
    List<String> seeds = new ArrayList<>();
    for (int i = 1; i <= Math.min(size.entryVms(), MOST_SEEDS); i++) {
      seeds.add(entryHost(i));
    }
    for (int i = 1; i <= size.entryVms(); i++) {
      entries.add(program("entry-" + i, entryHost(i), seeds, Optional.empty()));
    }
    for (int i = 1; i <= size.endpointVms(); i++) {
      String host = network + "2." + i;
      endpoints.add(program("endpoint-" + i, host, seeds, Optional.of(ENGINES)));
      HostPort address = ModelServer.addressOn(host);
      int index = engines.size();
      engines.add(
          new ModelServer(
              context(address, seed + i),
              place("m" + i, ENGINES, host, address),
              WEIGHTS,
              ledger,
              wallClock.time(),
              () -> list(engines.get(index))));
    }
    for (int i = 1; i <= PLAIN_SERVERS; i++) {
      String host = network + "3." + i;
      HostPort address = ModelServer.addressOn(host);
      servers.add(
          new PlainServer(
              context(address, seed - i),
              place("p" + i, PLAIN, host, address),
              ledger,
              wallClock.time()));
    }
    store.start();
    origin.start();
    for (PlainServer server : allServers()) {
      server.start();
      list(server);
    }
    nameNextVersion();
  }

  private StandInContext context(HostPort address, long seed) {
    return new StandInContext(eventLoops, address, clock, new EventLoopScheduler(eventLoops), seed);
  }

  /** Returns the client account that a key belongs to. */
  static String account(String key) {
    return "account-of-" + key;
  }

  private String entryHost(int number) {
    return network + "1." + number;
  }

  private Program program(
      String vm, String host, List<String> seeds, Optional<String> engineService)
      throws ClementinefordException {
    HostPort link = new HostPort(host, STORE_PORT);
    storeLinks.put(vm, new LinkProxy(eventLoops, link, storeAddress));
    Map<String, Double> bounds =
        Map.of(
            "grace_s",
            STOP_MS / 1000.0,
            "revoke_ms",
            (double) KEY_MS,
            "version_ms",
            8_000.0,
            "retry_budget_ratio",
            REPEAT_RATIO,
            "budget_slack",
            REPEAT_FIXED,
            "budget_window_s",
            REPEAT_WINDOW_SECONDS);
    Path settings = directory.resolve(vm + ".json");
    try {
      Files.writeString(
          settings, PlatformFiles.settings(vm, host, "west", link, seeds, engineService, bounds));
    } catch (IOException e) {
      throw new ClementinefordException(
          ErrorKind.LOCAL_RESOURCE, "cannot write " + settings + "; check the directory", e);
    }
    String role = engineService.isPresent() ? "endpoint" : "entry";
    return new Program(vm, role, settings, directory.resolve(vm + ".log"), clock);
  }

  /** A server is listed at a proxy on its host, so that its link can be disturbed. */
  private ServerConfiguration place(String name, String service, String host, HostPort address)
      throws ClementinefordException {
    HostPort link = new HostPort(host, SERVER_PORT);
    serverLinks.add(new LinkProxy(eventLoops, link, address));
    return new ServerConfiguration(name, service, "west", link, SLOTS);
  }

  /** Writes the entry of a server, and removes that of its earlier incarnation. */
  private void list(PlainServer server) {
    String identity = server.identity();
    String before = listed.put(server, identity);
    if (before != null && !before.equals(identity)) {
      ended.add(before);
      store.remove("servers", before);
    }
    store.put("servers", identity, server.registration());
  }

  /** Writes the next version of the configuration. */
  synchronized void writeConfiguration() {
    configurationVersion += 3;
    storeConfiguration();
  }

  private void storeConfiguration() {
    List<PlatformFiles.RouteSpec> routes =
        Arrays.stream(CallKind.values())
            .map(
                kind ->
                    new PlatformFiles.RouteSpec(
                        kind.path(),
                        kind.platformName(),
                        kind.isStream() ? ENGINES : PLAIN,
                        kind.routeTimeoutMs()))
            .toList();
    store.put(
        "config",
        "main",
        PlatformFiles.configuration(
            configurationVersion, HOST, routes, ENGINES, WEIGHTS, originAddress, accounts));
  }

  /** Writes what a restored store has lost. */
  synchronized void writeAgain() {
    storeConfiguration();
    store.put("versions", WEIGHTS.model(), PlatformFiles.version(WEIGHTS, weightVersion));
    allServers().forEach(this::list);
    ended.forEach(identity -> store.remove("servers", identity));
  }

  /** Takes a key away; returns the time of the acknowledgement, in monotonic nanoseconds. */
  synchronized long removeKey(String key) {
    accounts.remove(key);
    writeConfiguration();
    return clock.nanoTime();
  }

  /** Names the next version of the weights. */
  synchronized void nameNextVersion() {
    weightVersion++;
    origin.setNewest(weightVersion);
    store.put("versions", WEIGHTS.model(), PlatformFiles.version(WEIGHTS, weightVersion));
  }

  long weightVersion() {
    return weightVersion;
  }

  /** Starts all programs and waits until entry VMs are ready and engines have weights. */
  void start(long timeoutMs) throws ClementinefordException, InterruptedException {
    for (Program program : programs()) {
      program.start();
    }
    long deadline = clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    while (!engines.stream().allMatch(engine -> hasWeights(engine))) {
      if (clock.nanoTime() - deadline > 0) {
        throw new ClementinefordException(
            ErrorKind.UNAVAILABLE, "engines got no weights; see the logs in " + directory);
      }
      Thread.sleep(50);
    }
  }

  private static boolean hasWeights(ModelServer engine) {
    return engine.registration().path("models").path(0).path("version").asLong() > 0;
  }

  List<Program> programs() {
    return Stream.concat(entries.stream(), endpoints.stream()).toList();
  }

  List<Program> entries() {
    return entries;
  }

  List<Program> endpoints() {
    return endpoints;
  }

  List<ModelServer> engines() {
    return engines;
  }

  /** Returns model servers and plain servers. */
  List<PlainServer> allServers() {
    return Stream.concat(engines.stream(), servers.stream()).toList();
  }

  ObjectStoreServer store() {
    return store;
  }

  /** Starts a crashed server again under another identity. */
  void restart(PlainServer server) {
    server.restart(wallClock.time());
    list(server);
  }

  OriginServer origin() {
    return origin;
  }

  RunRecorder ledger() {
    return ledger;
  }

  LinkProxy storeLink(Program program) {
    return storeLinks.get(program.vm());
  }

  List<LinkProxy> serverLinks() {
    return serverLinks;
  }

  EventLoopGroup eventLoops() {
    return eventLoops;
  }

  /** Returns the host of an entry VM, the first being 0. */
  String host(Program entry) {
    return entryHost(entries.indexOf(entry) + 1);
  }

  @Override
  public void close() {
    programs().stream().filter(Program::isRunning).forEach(Program::kill);
    storeLinks.values().forEach(LinkProxy::close);
    serverLinks.forEach(LinkProxy::close);
    store.close();
    origin.close();
    allServers().forEach(PlainServer::close);
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
