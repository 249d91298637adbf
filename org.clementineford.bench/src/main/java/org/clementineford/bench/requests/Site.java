package org.clementineford.bench.requests;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.clementineford.configuration.ClientAccount;
import org.clementineford.configuration.ConfigurationSnapshot;
import org.clementineford.configuration.ModelSpecification;
import org.clementineford.configuration.Policies;
import org.clementineford.configuration.ServiceSpecification;
import org.clementineford.kernel.DistributionPolicy;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.platform.ModelEngine.LoadedVersion;
import org.clementineford.platform.HttpObjectStore;
import org.clementineford.standins.EngineOptions;
import org.clementineford.standins.EngineStandIn;
import org.clementineford.standins.ObjectApiStandIn;
import org.clementineford.standins.ServiceStandIn;
import org.clementineford.standins.StandInContext;
import org.clementineford.testing.FreePorts;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;

/** Stand-ins, endpoint daemons and entry daemons of one data centre, each with its own threads. */
final class Site implements AutoCloseable {
  static final String ACCOUNT = "warehouse";
  static final String MODEL = "assistant";
  static final String VERSION = "v1";
  static final String DIGEST = "0".repeat(64);

  private final RequestViews views;
  private final EventLoopGroup standInLoops;
  private final HttpClient platformClient;
  private final int threads;
  private final List<EngineStandIn> engines = new ArrayList<>();
  private final ServiceStandIn service;
  private final ObjectApiStandIn objectApi;
  private final List<RequestVm> endpoints = new ArrayList<>();
  private final List<RequestVm> entries = new ArrayList<>();
  private final List<HostPort> entryAddresses = new ArrayList<>();

  /** Starts the stand-ins; {@code weights} maps each client account to its weight. */
  Site(Map<String, Integer> weights, int engineCount, EngineOptions options, int threads, long seed)
      throws ClementinefordException {
    this.threads = threads;
    this.views = new RequestViews(snapshot(weights));
    this.standInLoops = EventLoopGroups.create("stand-ins", 2 * threads);
    this.platformClient = new HttpClient(standInLoops, LinkShaping.NONE);
    for (int i = 0; i < engineCount; i++) {
      EngineStandIn engine =
          new EngineStandIn(StandInContext.onLoopback(standInLoops, seed + i), options);
      engine.start();
      engine.setLoaded(new LoadedVersion(MODEL, VERSION, DIGEST));
      engines.add(engine);
    }
    service = new ServiceStandIn(StandInContext.onLoopback(standInLoops, seed));
    service.start();
    objectApi = new ObjectApiStandIn(StandInContext.onLoopback(standInLoops, seed), 0);
    objectApi.start();
  }

  private static ConfigurationSnapshot snapshot(Map<String, Integer> weights) {
    Map<String, ClientAccount> accounts = new HashMap<>();
    weights.forEach(
        (name, weight) -> accounts.put(name, new ClientAccount(name, weight, tokenSha256(name))));
    return new ConfigurationSnapshot(
        1,
        Map.of(
            MODEL, new ModelSpecification(MODEL, VERSION, DistributionPolicy.SHORTEST_TIME, false)),
        accounts,
        Map.of("reservations", new ServiceSpecification("reservations", 50)),
        Set.of(),
        Set.of(),
        Policies.DEFAULT);
  }

  /** Returns the digest of a bearer token; the token of an account is its name. */
  private static String tokenSha256(String token) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(token.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "the Java runtime lacks SHA-256, which every Java platform must provide", e);
    }
  }

  void startEndpoints() throws ClementinefordException {
    for (int i = 0; i < engines.size(); i++) {
      endpoints.add(newEndpoint(i, 1, freePort()));
    }
  }

  private RequestVm newEndpoint(int index, long incarnation, HostPort address)
      throws ClementinefordException {
    return new RequestVm(
        "endpoint-" + (index + 1),
        VmRole.ENDPOINT,
        incarnation,
        address,
        views,
        null,
        threads,
        "request-endpoint",
        "--engines",
        MODEL + "=http://" + engines.get(index).address(),
        "--services",
        "reservations=http://" + service.address());
  }

  void startEntries(int count) throws ClementinefordException {
    for (int i = 0; i < count; i++) {
      entryAddresses.add(freePort());
      entries.add(newEntry(i, 1, freePort()));
    }
  }

  /** Adds an entry VM that runs in another process. */
  void useEntry(HostPort httpAddress, HostPort peerAddress) {
    entryAddresses.add(httpAddress);
    views.join(new VmIdentity("entry-1", VmRole.ENTRY, "lorient", "brittany", 1, peerAddress));
  }

  /** Starts an entry VM in this process, for endpoint VMs of another process. */
  static RequestVm entryAlone(HostPort httpAddress, HostPort peerAddress, int threads)
      throws ClementinefordException {
    return new RequestVm(
        "entry-1",
        VmRole.ENTRY,
        1,
        peerAddress,
        new RequestViews(snapshot(Map.of(ACCOUNT, 1))),
        null,
        threads,
        "request-entry",
        "--http-address",
        httpAddress.toString());
  }

  private RequestVm newEntry(int index, long incarnation, HostPort address)
      throws ClementinefordException {
    return new RequestVm(
        "entry-" + (index + 1),
        VmRole.ENTRY,
        incarnation,
        address,
        views,
        new HttpObjectStore(platformClient, objectApi.address()),
        threads,
        "request-entry",
        "--http-address",
        entryAddresses.get(index).toString(),
        "--readiness-ms",
        "0");
  }

  // Daemons restart at the same addresses, so outgoing connections must not take these ports.
  private static HostPort freePort() throws ClementinefordException {
    try {
      return FreePorts.find();
    } catch (IOException e) {
      throw new ClementinefordException(ErrorKind.LOCAL_RESOURCE, e.getMessage(), e);
    }
  }

  /** Replaces an endpoint VM with its next incarnation at the same address. */
  void restartEndpoint(int index) throws ClementinefordException {
    RequestVm old = endpoints.get(index);
    endpoints.set(index, newEndpoint(index, old.self().incarnation() + 1, old.self().address()));
  }

  /** Replaces an entry VM with its next incarnation at the same addresses. */
  void restartEntry(int index) throws ClementinefordException {
    RequestVm old = entries.get(index);
    entries.set(index, newEntry(index, old.self().incarnation() + 1, old.self().address()));
  }

  RequestVm endpoint(int index) {
    return endpoints.get(index);
  }

  RequestVm entry(int index) {
    return entries.get(index);
  }

  int endpointCount() {
    return endpoints.size();
  }

  HostPort entryAddress(int index) {
    return entryAddresses.get(index);
  }

  int entryCount() {
    return entries.size();
  }

  EngineStandIn engine(int index) {
    return engines.get(index);
  }

  ServiceStandIn service() {
    return service;
  }

  ObjectApiStandIn objectApi() {
    return objectApi;
  }

  @Override
  public void close() {
    entries.forEach(RequestVm::close);
    endpoints.forEach(RequestVm::close);
    engines.forEach(EngineStandIn::close);
    service.close();
    objectApi.close();
    platformClient.close();
    EventLoopGroups.stop(standInLoops);
  }
}
