package org.clementineford.endpoint.internal.requests;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.clementineford.configuration.ConfigurationSnapshot;
import org.clementineford.endpoint.ServedVersions;
import org.clementineford.endpoint.ServedVersions.ServedVersion;
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
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.Payloads;
import org.clementineford.transport.PeerNetwork;
import org.clementineford.transport.PeerTiming;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpExchange;
import org.clementineford.transport.http.HttpServer;
import org.clementineford.wire.Dispatch;
import org.clementineford.wire.LoadReport;
import org.clementineford.wire.Payload;
import org.clementineford.wire.ReportOrRevoke;

/** Request component with an engine and a plain service whose answers are sent by the test. */
final class EndpointFixture implements AutoCloseable {
  static final long INCARNATION = 7;
  static final ServedVersion SERVED = new ServedVersion("assistant", "v1", "d1");
  private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);

  final VirtualTime time = new VirtualTime(0);
  final LinkedBlockingQueue<HttpExchange> received = new LinkedBlockingQueue<>();
  final List<MembershipView.Member> members = new ArrayList<>();
  final RequestEndpoint endpoint;
  final Timeline timeline = new Timeline(new HybridLogicalClock(time.epochClock()), "vm", 7, 1000);
  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final PayloadRouter router = new PayloadRouter();
  private final PeerNetwork network;
  private final HostPort backEndAddress;
  private HttpServer backEnd;
  private final HttpClient client = new HttpClient(eventLoops, LinkShaping.NONE);
  private final List<Consumer<ConfigurationSnapshot>> configurationListeners = new ArrayList<>();
  private final List<PeerNetwork> entryVms = new ArrayList<>();
  private ConfigurationSnapshot configuration = ConfigurationSnapshot.EMPTY;
  private volatile boolean pollsAnswered = true;

  EndpointFixture(int slots, HostPort... furtherEngines) throws Exception {
    startBackEnd(ANY_PORT);
    backEndAddress = backEnd.address();
    final List<HostPort> engines = new ArrayList<>(List.of(furtherEngines));
    engines.add(backEndAddress);
    VmIdentity self =
        new VmIdentity("endpoint-1", VmRole.ENDPOINT, "lorient", "brittany", INCARNATION, ANY_PORT);
    network =
        new PeerNetwork(
            eventLoops, Payloads.toWire(self), PeerTiming.DEFAULT, time, LinkShaping.NONE);
    SharedServices shared = new SharedServices();
    shared.register(ServedVersions.class, new FixedVersions());
    NodeContext context =
        new NodeContext(
            self,
            eventLoops,
            time,
            time,
            time.epochClock(),
            network,
            router,
            new FixedConfiguration(),
            new FixedMembership(),
            OptionalLong::empty,
            null,
            client,
            timeline,
            shared,
            new PrometheusRegistry());
    endpoint =
        new RequestEndpoint(
            context, Map.of("assistant", engines), Map.of("reservations", backEndAddress), slots);
    endpoint.start();
    awaitLoadReports();
  }

  private void startBackEnd(HostPort address) throws Exception {
    backEnd = HttpServer.start(eventLoops, address, 1 << 20, LinkShaping.NONE, this::receive);
  }

  void stopBackEnd() {
    backEnd.close();
  }

  void restartBackEnd() throws Exception {
    startBackEnd(backEndAddress);
  }

  private void receive(HttpExchange exchange) {
    if (exchange.request().method().equals("GET")) {
      if (!pollsAnswered) {
        exchange.abort();
        return;
      }
      exchange.respond(200, Map.of(), "{\"slots\":0,\"ageMs\":0}".getBytes(StandardCharsets.UTF_8));
    } else {
      received.add(exchange);
    }
  }

  /** Sets whether polls get an answer; others lose their connection, so that no timer is needed. */
  void setPollsAnswered(boolean answered) {
    pollsAnswered = answered;
  }

  /** Adds an entry VM that confirms load reports; returns the queue of the reports it receives. */
  LinkedBlockingQueue<LoadReport> addEntryVm(String vm, String dataCentre) throws Exception {
    VmIdentity identity = new VmIdentity(vm, VmRole.ENTRY, dataCentre, "brittany", 1, ANY_PORT);
    PeerNetwork entry =
        new PeerNetwork(
            eventLoops, Payloads.toWire(identity), PeerTiming.DEFAULT, time, LinkShaping.NONE);
    LinkedBlockingQueue<LoadReport> reports = new LinkedBlockingQueue<>();
    entry.setHandler(
        (opening, exchange) -> {
          reports.add(opening.getLoadReport());
          exchange.finish(Payloads.acknowledgement());
        });
    HostPort address = entry.listen(ANY_PORT);
    entryVms.add(entry);
    members.add(
        new MembershipView.Member(
            new VmIdentity(vm, VmRole.ENTRY, dataCentre, "brittany", 1, address),
            MembershipView.Phase.ALIVE));
    return reports;
  }

  /** Starts a drain that lasts at most the given time. */
  CompletableFuture<Void> drain(long milliseconds) {
    return endpoint.drain(time.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds));
  }

  HttpExchange nextCall() throws Exception {
    HttpExchange call = received.poll(5, TimeUnit.SECONDS);
    if (call == null) {
      throw new AssertionError("the back end received no request");
    }
    return call;
  }

  RecordingExchange send(Payload opening) {
    RecordingExchange exchange = new RecordingExchange();
    router.onOpen(opening, exchange);
    return exchange;
  }

  RecordingExchange dispatch(String id, Consumer<Dispatch> change) {
    Dispatch dispatch =
        new Dispatch()
            .setRequestId("request-" + id)
            .setAttemptId("attempt-" + id)
            .setClientAccount("shop")
            .setRequestDigest("")
            .setIdempotent(true)
            .setEstimatedCostTokens(100)
            .setTimeoutMs(30_000)
            .setTargetIncarnation(INCARNATION)
            .setAdmissionTick(TimeUnit.NANOSECONDS.toMillis(time.nanoTime()))
            .setBackEnd("assistant")
            .setMethod("POST")
            .setPath("/v1/chat/completions")
            .setHeaders(Map.of())
            .setBody(ByteBuffer.wrap(new byte[0]));
    change.accept(dispatch);
    return send(Payload.dispatch(dispatch));
  }

  RecordingExchange reportOrRevoke(String id, boolean waitForEnd) {
    return send(
        Payload.reportOrRevoke(
            new ReportOrRevoke("attempt-" + id, "shop", INCARNATION, waitForEnd)));
  }

  static void reservation(Dispatch dispatch) {
    dispatch.setBackEnd("reservations").setIdempotent(false).setPath("/reservations");
  }

  static Map<String, String> engineHeaders(HttpExchange call) {
    return Map.of(
        Run.REQUEST_ID_HEADER,
        String.valueOf(call.request().header(Run.REQUEST_ID_HEADER)),
        EngineHeaders.MODEL_VERSION,
        SERVED.version(),
        EngineHeaders.WEIGHTS_DIGEST,
        SERVED.digest());
  }

  static void answer(HttpExchange call, String... parts) {
    call.start(200, engineHeaders(call));
    for (String part : parts) {
      call.write(part.getBytes(StandardCharsets.UTF_8));
    }
    call.finish();
  }

  /** Advances the time and waits for the load reports of the engine. */
  void advance(long milliseconds) throws InterruptedException {
    time.advance(milliseconds, TimeUnit.MILLISECONDS);
    awaitLoadReports();
  }

  private void awaitLoadReports() throws InterruptedException {
    await(() -> !endpoint.isReadingLoad());
  }

  /** Waits until each run has released its slot, which happens after its exchange ends. */
  void awaitIdle() throws InterruptedException {
    await(() -> endpoint.activeRuns() == 0);
  }

  /** Waits until a condition is met, or until the time limit of the test interrupts the thread. */
  static void await(BooleanSupplier condition) throws InterruptedException {
    while (!condition.getAsBoolean()) {
      if (Thread.interrupted()) {
        throw new InterruptedException("the time limit of the test has passed");
      }
      Thread.onSpinWait();
    }
  }

  void configure(ConfigurationSnapshot next) {
    configuration = next;
    configurationListeners.forEach(listener -> listener.accept(next));
  }

  @Override
  public void close() {
    endpoint.close();
    network.close();
    entryVms.forEach(PeerNetwork::close);
    client.close();
    backEnd.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static final class FixedVersions implements ServedVersions {
    @Override
    public Optional<ServedVersion> current(String model) {
      return model.equals(SERVED.model()) ? Optional.of(SERVED) : Optional.empty();
    }

    @Override
    public void onChange(Consumer<ServedVersion> listener) {}
  }

  private final class FixedConfiguration implements ConfigurationView {
    @Override
    public ConfigurationSnapshot current() {
      return configuration;
    }

    @Override
    public void onChange(Consumer<ConfigurationSnapshot> listener) {
      configurationListeners.add(listener);
    }
  }

  private final class FixedMembership implements MembershipView {
    @Override
    public List<Member> members() {
      return members;
    }

    @Override
    public void onChange(Consumer<List<Member>> listener) {}
  }
}
