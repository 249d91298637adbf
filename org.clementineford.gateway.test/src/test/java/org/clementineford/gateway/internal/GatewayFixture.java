package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.agrona.concurrent.NanoClock;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.fleet.VmSettings;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.serving.model.CallerLimits;
import org.clementineford.serving.model.Endpoint;
import org.clementineford.serving.model.EngineProfile;
import org.clementineford.serving.model.RequestKind;
import org.clementineford.serving.model.Route;
import org.clementineford.serving.model.RoutingClientAccount;
import org.clementineford.serving.model.RoutingConfiguration;
import org.clementineford.serving.model.Service;
import org.clementineford.serving.model.ServiceShare;
import org.clementineford.serving.quarantine.RequestQuarantine;
import org.clementineford.serving.routing.EntryVmPosition;
import org.clementineford.testing.VirtualTime;
import org.clementineford.transport.EventLoopScheduler;

/** Runs a gateway on loopback with a route for each kind of request. */
final class GatewayFixture implements AutoCloseable {
  /** Connection limit of each endpoint. */
  static final int MAX_CONNECTIONS = 10;

  private static final Map<String, RoutingClientAccount> ACCOUNTS =
      Map.of("secret", new RoutingClientAccount("lorient", OptionalInt.empty()));

  private static final EngineProfile PROFILE =
      new EngineProfile(
          "m", 4, 1_640_000, 6, 6.73, 0.0219, 0.0068, 30.6, 0.647, 964, 119, Optional.empty());

  private final MultiThreadIoEventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final AtomicLong configurationAge = new AtomicLong();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final TestProtocol protocol = new TestProtocol();
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Gateway gateway;
  private final HostPort address;

  GatewayFixture(ScriptedHttpEndpoint... endpoints) throws Exception {
    this(SystemNanoClock.INSTANCE, EventLoopScheduler::new, endpoints);
  }

  /** Runs a gateway whose clock and timers follow a virtual time. */
  GatewayFixture(VirtualTime time, ScriptedHttpEndpoint... endpoints) throws Exception {
    this(time, eventLoops -> new VirtualEventLoopScheduler(time, eventLoops), endpoints);
  }

  private GatewayFixture(
      NanoClock clock,
      Function<EventLoopGroup, Scheduler> schedulers,
      ScriptedHttpEndpoint... endpoints)
      throws Exception {
    HostPort any = new HostPort("127.0.0.1", 0);
    VmSettings settings =
        new VmSettings(
            "entry",
            "x",
            "r",
            Map.of(),
            Optional.of(any),
            Optional.of(any),
            any,
            any,
            List.of(),
            Optional.empty(),
            "",
            any,
            1,
            new VmSettings.Bounds(
                1_000, 5_000, true, 8_000, 0.2, 100, 10, 3_600, 2_000, 2_000, 3_000));
    gateway =
        new Gateway(
            settings,
            protocol,
            eventLoops,
            schedulers.apply(eventLoops),
            clock,
            () -> TimeUnit.NANOSECONDS.toMillis(clock.nanoTime()),
            () -> 0,
            configurationAge::get,
            () -> new EntryVmPosition(1, 0),
            new RequestQuarantine(clock),
            registry);
    address = gateway.start(any);
    eventLoops.submit(() -> gateway.configure(configuration(1, ACCOUNTS))).get();
    list(List.of(endpoints), 1);
  }

  /** Lists each endpoint as one of the plain service and one engine. */
  void list(List<ScriptedHttpEndpoint> endpoints, long incarnation) throws Exception {
    List<Endpoint> listed = new ArrayList<>();
    for (ScriptedHttpEndpoint endpoint : endpoints) {
      String id = "e" + listed.size();
      listed.add(new Endpoint(id, incarnation, "plain", endpoint.address(), "x", false, 0));
      listed.add(new Endpoint("m" + id, incarnation, "pool", endpoint.address(), "x", false, 1));
    }
    eventLoops.submit(() -> gateway.updateEndpoints(listed)).get();
  }

  /** Puts a configuration into force that has no keys any more. */
  void removeKeys() throws Exception {
    eventLoops.submit(() -> gateway.configure(configuration(2, Map.of()))).get();
  }

  private static RoutingConfiguration configuration(
      long version, Map<String, RoutingClientAccount> accounts) {
    return new RoutingConfiguration(
        version,
        List.of(
            route("/get/", RequestKind.IDEMPOTENT, "plain", 2, true),
            route("/post/", RequestKind.NON_IDEMPOTENT, "plain", 2, true),
            route("/stream/", RequestKind.STREAM, "pool", 2, true),
            patientRoute("/patient/"),
            route("/keyed/", RequestKind.IDEMPOTENT, "plain", 2, false),
            route("/keyed-stream/", RequestKind.STREAM, "pool", 2, false)),
        List.of(
            new Service("plain", MAX_CONNECTIONS, Optional.empty(), Optional.empty()),
            new Service("pool", MAX_CONNECTIONS, Optional.of(PROFILE), Optional.empty())),
        accounts,
        true,
        CallerLimits.DEFAULT);
  }

  private static Route route(
      String prefix, RequestKind kind, String service, int attempts, boolean anonymous) {
    return new Route(
        prefix,
        "127.0.0.1",
        prefix,
        kind,
        2_000,
        200,
        1,
        List.of(new ServiceShare(service, 1)),
        attempts,
        anonymous,
        true,
        2_000);
  }

  /** Returns a route of streams whose callers wait for four seconds. */
  private static Route patientRoute(String prefix) {
    return new Route(
        prefix,
        "127.0.0.1",
        prefix,
        RequestKind.STREAM,
        6_000,
        200,
        1,
        List.of(new ServiceShare("pool", 1)),
        2,
        true,
        true,
        4_000);
  }

  /** Runs an action on the event loop without waiting for its end. */
  void runUnchecked(Runnable action) {
    eventLoops.execute(action);
  }

  /** Waits until a gauge of the gateway has a value. */
  void awaitGauge(String name, double value) throws Exception {
    long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    while (gauge(name) != value && System.nanoTime() - giveUpAt < 0) {
      run(() -> {});
    }
    assertThat(gauge(name)).as(name).isEqualTo(value);
  }

  private double gauge(String name) {
    GaugeSnapshot gauge = (GaugeSnapshot) registry.scrape(name::equals).get(0);
    return gauge.getDataPoints().get(0).getValue();
  }

  /** Runs an action on the event loop, and waits for its end. */
  void run(Runnable action) throws Exception {
    eventLoops.submit(action).get();
  }

  void setConfigurationAge(long millis) {
    configurationAge.set(TimeUnit.MILLISECONDS.toNanos(millis));
  }

  /** Runs an action on the event loop while it processes the head of a request. */
  void whileProcessing(String requestId, Runnable action) {
    protocol.whileDecoding(requestId, action);
  }

  /** Lets the proof of the keys run out once a request was checked, before it is written. */
  void expireKeysAfterCheckOf(String requestId) {
    protocol.whileEncoding(requestId, () -> setConfigurationAge(4_900));
  }

  /**
   * Waits until the gateway has no request in progress, and lets it close its connections to
   * endpoints.
   */
  void closeIdleGateway() throws Exception {
    long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    do {
      eventLoops.submit(gateway::closeIdle).get();
    } while (gateway.requestsInProgress() > 0 && System.nanoTime() - giveUpAt < 0);
    assertThat(gateway.requestsInProgress()).isZero();
    eventLoops.submit(() -> gateway.updateEndpoints(List.of())).get();
  }

  HostPort address() {
    return address;
  }

  Gateway gateway() {
    return gateway;
  }

  HttpResponse<String> send(String method, String path, String id, String... headers)
      throws Exception {
    return sendAsync(method, path, id, headers).get(5, TimeUnit.SECONDS);
  }

  CompletableFuture<HttpResponse<String>> sendAsync(
      String method, String path, String id, String... headers) {
    boolean hasBody = !method.equals("GET") && !method.equals("HEAD");
    return sendBodyAsync(method, path, id, hasBody ? "body" : "", headers);
  }

  CompletableFuture<HttpResponse<String>> sendBodyAsync(
      String method, String path, String id, String body, String... headers) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .method(
                method,
                body.isEmpty()
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body))
            .timeout(Duration.ofSeconds(5))
            .header("id", id);
    if (headers.length > 0) {
      request.headers(headers);
    }
    return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  @Override
  public void close() {
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
