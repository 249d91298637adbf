package org.clementineford.entry.internal.requests;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.clementineford.configuration.ClientAccount;
import org.clementineford.configuration.ConfigurationSnapshot;
import org.clementineford.configuration.ModelSpecification;
import org.clementineford.configuration.Policies;
import org.clementineford.configuration.ServiceSpecification;
import org.clementineford.kernel.DistributionPolicy;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.timeline.HybridLogicalClock;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.node.ConfigurationView;
import org.clementineford.requests.ProcessEnd;
import org.clementineford.requests.attempts.RetryBudget;
import org.clementineford.requests.routing.BackEndId;
import org.clementineford.requests.routing.BackEndReport;
import org.clementineford.requests.routing.EndpointReport;
import org.clementineford.requests.routing.EndpointTable;
import org.clementineford.requests.routing.Router;
import org.clementineford.testing.VirtualTime;
import org.clementineford.transport.Exchange;
import org.clementineford.transport.ExchangeFailure;
import org.clementineford.transport.ExchangeListener;
import org.clementineford.transport.PeerInfo;
import org.clementineford.wire.Payload;

/** Simulates two entry VMs, two endpoints and the object store on a manually advanced clock. */
final class VirtualTimeFleet implements ConfigurationView {
  static final String TOKEN = "vanilla";

  final VirtualTime time = new VirtualTime(1_000_000);
  final FakeStore store = new FakeStore();
  final Map<String, FakeEndpoint> endpoints = new LinkedHashMap<>();
  final Map<String, Entry> entries = new LinkedHashMap<>();
  private final Map<HostPort, FakeEndpoint> byAddress = new HashMap<>();
  private final List<Consumer<ConfigurationSnapshot>> listeners = new ArrayList<>();
  private ConfigurationSnapshot configuration = snapshot(Set.of());

  VirtualTimeFleet() {
    for (int i = 1; i <= 2; i++) {
      FakeEndpoint endpoint = new FakeEndpoint("endpoint-" + i, time);
      endpoints.put(endpoint.vm, endpoint);
      byAddress.put(address(endpoint), endpoint);
    }
    entries.put("entry-1", new Entry("entry-1"));
    entries.put("entry-2", new Entry("entry-2"));
    sendLoadReports();
  }

  private static ConfigurationSnapshot snapshot(Set<String> leaving) {
    ClientAccount account =
        new ClientAccount(
            "warehouse", 1, Accounts.sha256Hex(TOKEN.getBytes(StandardCharsets.UTF_8)));
    return new ConfigurationSnapshot(
        1,
        Map.of(
            "assistant",
            new ModelSpecification("assistant", "v1", DistributionPolicy.SHORTEST_TIME, false)),
        Map.of("warehouse", account),
        Map.of("reservations", new ServiceSpecification("reservations", 50)),
        Set.of(),
        leaving,
        Policies.DEFAULT);
  }

  void markLeavingInDocument(String vm) {
    configuration = snapshot(Set.of(vm));
    listeners.forEach(listener -> listener.accept(configuration));
  }

  @Override
  public ConfigurationSnapshot current() {
    return configuration;
  }

  @Override
  public void onChange(Consumer<ConfigurationSnapshot> listener) {
    listeners.add(listener);
  }

  FakeEndpoint endpoint(int number) {
    return endpoints.get("endpoint-" + number);
  }

  Entry entry(int number) {
    return entries.get("entry-" + number);
  }

  /** Makes the second endpoint unreachable and returns the first. */
  FakeEndpoint isolateEndpoint() {
    endpoint(2).reachable = false;
    return endpoint(1);
  }

  private static HostPort address(FakeEndpoint endpoint) {
    return new HostPort("10.0.0." + endpoint.vm.substring(endpoint.vm.length() - 1), 7100);
  }

  VmIdentity identity(FakeEndpoint endpoint) {
    return new VmIdentity(
        endpoint.vm,
        VmRole.ENDPOINT,
        "lorient",
        "brittany",
        endpoint.incarnation,
        address(endpoint));
  }

  /** Sends a load report from each reachable endpoint to each entry VM. */
  void sendLoadReports() {
    for (FakeEndpoint endpoint : endpoints.values()) {
      for (Entry entry : entries.values()) {
        if (endpoint.reachable) {
          entry.recordLoadReport(endpoint, false);
        }
      }
    }
  }

  /** Advances the clock in steps of 500 ms, with load reports after each step. */
  void advanceWithReports(long durationMs) {
    for (long elapsed = 0; elapsed < durationMs; elapsed += 500) {
      time.advance(Math.min(500, durationMs - elapsed), TimeUnit.MILLISECONDS);
      sendLoadReports();
    }
  }

  int runs(String key) {
    return endpoints.values().stream().mapToInt(e -> e.runs.getOrDefault(key, 0)).sum();
  }

  FakeCall reserve(Entry entry, String key) {
    return reserve(entry, key, "10 kg of lot 7");
  }

  FakeCall reserve(Entry entry, String key, String body) {
    return reserve(entry, key, body, Map.of());
  }

  FakeCall reserve(Entry entry, String key, String body, Map<String, String> extraHeaders) {
    Map<String, String> headers = new HashMap<>(extraHeaders);
    headers.put("Authorization", "Bearer " + TOKEN);
    if (key != null) {
      headers.put("Idempotency-Key", key);
    }
    return entry.call("POST", "/services/reservations/reservations", headers, body);
  }

  FakeCall chat(Entry entry, boolean stream) {
    return entry.call(
        "POST",
        "/v1/chat/completions",
        Map.of("Authorization", "Bearer " + TOKEN),
        "{\"model\":\"assistant\",\"stream\":" + stream + ",\"messages\":[]}");
  }

  /** A simulated entry VM with its connections to the endpoints. */
  final class Entry implements PeerExchanges {
    final EndpointTable table = new EndpointTable();
    final EntryMetrics metrics = new EntryMetrics(new PrometheusRegistry());
    final Timeline timeline;
    final EntryServices services;
    final CallerRequestHandler requestHandler;
    boolean crashed;

    Entry(String vm) {
      VmIdentity self =
          new VmIdentity(
              vm, VmRole.ENTRY, "lorient", "brittany", 1, new HostPort("10.0.1.1", 7000));
      timeline = new Timeline(new HybridLogicalClock(time.epochClock()), vm, 1, 100);
      Router router = new Router(table, "lorient", new java.util.SplittableRandom(7));
      services =
          new EntryServices(
              this,
              new TargetChooser(router, table, this),
              table,
              new RetryBudget(0),
              new ClaimStore(store),
              time,
              time,
              metrics,
              timeline,
              new ProcessEnd());
      requestHandler = new CallerRequestHandler(self, VirtualTimeFleet.this, services, 1 << 20);
    }

    FakeCall call(String method, String target, Map<String, String> headers, String body) {
      FakeCall call = new FakeCall(method, target, headers, body);
      requestHandler.handle(call);
      return call;
    }

    void recordLoadReport(FakeEndpoint endpoint, boolean leaving) {
      List<BackEndReport> backEnds =
          List.of(
              new BackEndReport(new BackEndId("assistant", "v1"), "assistant", 0, 0, 4, true),
              new BackEndReport(
                  new BackEndId("reservations", null), "reservations", 0, 0, 4, true));
      table.update(new EndpointReport(identity(endpoint), backEnds, leaving), time.nanoTime());
    }

    @Override
    public Exchange open(HostPort address, Payload opening, ExchangeListener listener) {
      FakeEndpoint endpoint = byAddress.get(address);
      if (crashed) {
        return new FakeExchange(endpoint);
      }
      boolean written = endpoint.reachable;
      time.schedule(
          () -> {
            if (written) {
              endpoint.receive(opening, listener);
            } else {
              listener.onFailure(ExchangeFailure.NEVER_WRITTEN);
            }
          },
          1,
          TimeUnit.MILLISECONDS);
      if (endpoint.behavior == FakeEndpoint.Behavior.HOLD_CONNECTION && opening.isSetDispatch()) {
        // The heartbeat deadline of the peer network, 3 s, closes the connection.
        time.schedule(() -> listener.onFailure(ExchangeFailure.UNKNOWN), 3, TimeUnit.SECONDS);
      }
      return new FakeExchange(endpoint);
    }

    @Override
    public PeerInfo peer(HostPort address) {
      FakeEndpoint endpoint = byAddress.get(address);
      if (!endpoint.reachable) {
        return new PeerInfo(null, 0);
      }
      return new PeerInfo(
          org.clementineford.transport.Payloads.toWire(identity(endpoint)), endpoint.tick());
    }
  }

  private record FakeExchange(FakeEndpoint endpoint) implements Exchange {
    @Override
    public void send(Payload payload) {}

    @Override
    public void cancel() {
      endpoint.cancellations++;
    }
  }
}
