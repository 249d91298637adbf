package org.clementineford.entry.internal.requests;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.timeline.HybridLogicalClock;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.node.MembershipView;
import org.clementineford.node.NodeContext;
import org.clementineford.node.PayloadRouter;
import org.clementineford.node.SharedServices;
import org.clementineford.testing.VirtualTime;
import org.clementineford.transport.EventLoopScheduler;
import org.clementineford.transport.ExchangeFailure;
import org.clementineford.transport.ExchangeListener;
import org.clementineford.transport.IncomingExchange;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.Payloads;
import org.clementineford.transport.PeerNetwork;
import org.clementineford.transport.PeerTiming;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;
import org.clementineford.wire.BackEndLoad;
import org.clementineford.wire.LoadReport;
import org.clementineford.wire.Payload;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests an entry VM and a simulated endpoint over real network connections. */
@Timeout(30)
class EntryOverNetworkTest {
  private static final HostPort ANY = new HostPort("127.0.0.1", 0);

  private final FakeEndpoint endpoint = new FakeEndpoint("endpoint-1", new VirtualTime(0));
  private EventLoopGroup eventLoops;
  private HttpClient client;
  private PeerNetwork entryNetwork;
  private PeerNetwork endpointNetwork;
  private RequestEntry entry;

  @BeforeEach
  void start() throws Exception {
    eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    client = new HttpClient(eventLoops, LinkShaping.NONE);
    entryNetwork = network("entry-1", VmRole.ENTRY);
    endpointNetwork = network("endpoint-1", VmRole.ENDPOINT);
    PayloadRouter payloads = new PayloadRouter();
    entryNetwork.setHandler(payloads);
    final HostPort entryAddress = entryNetwork.listen(ANY);
    endpointNetwork.setHandler(
        (opening, exchange) -> endpoint.receive(opening, answersTo(exchange)));
    endpointNetwork.listen(ANY);
    entry =
        new RequestEntry(
            context(payloads),
            new EntrySettings(ANY, 1 << 20, 1 << 20, 0),
            PeerExchanges.of(entryNetwork));
    entry.start();
    endpointNetwork.call(entryAddress, report()).get(5, TimeUnit.SECONDS);
  }

  @AfterEach
  void stop() {
    entry.close();
    client.close();
    entryNetwork.close();
    endpointNetwork.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private PeerNetwork network(String vm, VmRole role) {
    VmIdentity self = new VmIdentity(vm, role, "lorient", "brittany", 1, ANY);
    return new PeerNetwork(
        eventLoops,
        Payloads.toWire(self),
        PeerTiming.DEFAULT,
        SystemNanoClock.INSTANCE,
        LinkShaping.NONE);
  }

  private Payload report() {
    BackEndLoad service = new BackEndLoad("reservations", 0, 0, 0, 4, 0, true);
    BackEndLoad model = new BackEndLoad("assistant", 0, 0, 0, 4, 0, true);
    model.setModel("assistant").setModelVersion("v1");
    return Payload.loadReport(
        new LoadReport(endpointNetwork.self(), List.of(service, model), false));
  }

  private NodeContext context(PayloadRouter payloads) {
    VirtualTimeFleet documents = new VirtualTimeFleet();
    VmIdentity self = new VmIdentity("entry-1", VmRole.ENTRY, "lorient", "brittany", 1, ANY);
    return new NodeContext(
        self,
        eventLoops,
        new EventLoopScheduler(eventLoops),
        SystemNanoClock.INSTANCE,
        SystemEpochClock.INSTANCE,
        entryNetwork,
        payloads,
        documents,
        new NoMembers(),
        OptionalLong::empty,
        documents.store,
        client,
        new Timeline(new HybridLogicalClock(SystemEpochClock.INSTANCE), "entry-1", 1, 100),
        new SharedServices(),
        new PrometheusRegistry());
  }

  private HttpResponse call(String path, String body) throws Exception {
    return send(path, body).get(5, TimeUnit.SECONDS);
  }

  private CompletableFuture<HttpResponse> send(String path, String body) {
    HttpRequest request =
        new HttpRequest(
            "POST",
            path,
            Map.of("Authorization", "Bearer " + VirtualTimeFleet.TOKEN, "Idempotency-Key", "k"),
            body.getBytes(StandardCharsets.UTF_8));
    return client.call(entry.httpAddress(), request, 5000);
  }

  private static String text(HttpResponse response) {
    return new String(response.body(), StandardCharsets.UTF_8);
  }

  // Guards against answers that are lost or altered between endpoint and caller.
  @Test
  void streamedAnswerReachesTheCaller() throws Exception {
    String body = "{\"model\":\"assistant\",\"stream\":true}";
    HttpResponse response = call("/v1/chat/completions", body);
    assertThat(response.status()).isEqualTo(200);
    assertThat(response.headers()).containsKey("Clementineford-Request");
    assertThat(text(response)).isEqualTo("answer to " + body);
  }

  // Guards against sending the entry VM's path prefix to the back end.
  @Test
  void serviceCallReachesTheServiceWithItsOwnPath() throws Exception {
    HttpResponse response = call("/services/reservations/reservations?lot=7", "10 kg");
    assertThat(text(response)).isEqualTo("answer to 10 kg");
    assertThat(endpoint.dispatches.get(0).getPath()).isEqualTo("/reservations?lot=7");
  }

  // Guards against refusing requests before the load balancer can see, by the failed readiness,
  // that the VM is leaving.
  @Test
  void drainFailsReadinessAndEnds() throws Exception {
    assertThat(client.call(entry.httpAddress(), ready(), 5000).get().status()).isEqualTo(200);
    entry
        .drain(SystemNanoClock.INSTANCE.nanoTime() + TimeUnit.SECONDS.toNanos(60))
        .get(5, TimeUnit.SECONDS);
    assertThat(client.call(entry.httpAddress(), ready(), 5000).get().status()).isEqualTo(503);
  }

  // Guards against a stop that closes connections before the answers of their requests.
  @Test
  void closeAnswersRequestsInFlight() throws Exception {
    endpoint.behavior = FakeEndpoint.Behavior.KEEP_RUNNING;
    CompletableFuture<HttpResponse> response = send("/services/reservations/reservations", "1 kg");
    while (endpoint.dispatches.isEmpty()) {
      Thread.onSpinWait();
    }
    entry.close();
    assertThat(response.get(5, TimeUnit.SECONDS).headers())
        .containsEntry("Clementineford-Run", "unknown");
  }

  private static HttpRequest ready() {
    return new HttpRequest("GET", "/ready", Map.of(), new byte[0]);
  }

  private static ExchangeListener answersTo(IncomingExchange exchange) {
    return new ExchangeListener() {
      @Override
      public void onPayload(Payload payload, boolean last) {
        if (last) {
          exchange.finish(payload);
        } else {
          exchange.send(payload);
        }
      }

      @Override
      public void onFailure(ExchangeFailure failure) {}
    };
  }

  private static final class NoMembers implements MembershipView {
    @Override
    public List<Member> members() {
      return List.of();
    }

    @Override
    public void onChange(Consumer<List<Member>> listener) {}
  }
}
