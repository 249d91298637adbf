package org.clementineford.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import org.agrona.concurrent.NanoClock;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.fleet.VmSettings;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.serving.draining.Drain;
import org.clementineford.serving.model.CallerLimits;
import org.clementineford.serving.model.Endpoint;
import org.clementineford.serving.quarantine.RequestQuarantine;
import org.clementineford.serving.quarantine.Suspect;
import org.clementineford.serving.routing.EntryVmPosition;
import org.clementineford.testing.VirtualTime;
import org.clementineford.transport.EventLoopScheduler;

/** Runs a gateway on loopback with a route for each kind of request. */
final class GatewayFixture implements AutoCloseable {
  /** Connection limit of each endpoint. */
  static final int MAX_CONNECTIONS = 10;

  /** Number of requests that an engine runs at the same time. */
  static final int SLOTS = 4;

  private final MultiThreadIoEventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final AtomicLong configurationAge = new AtomicLong();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final TestProtocol protocol = new TestProtocol();
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final NanoClock clock;
  private final RequestQuarantine quarantine;
  private final Gateway gateway;
  private final HostPort address;
  private long configurationVersion;

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
    this.clock = clock;
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
    quarantine = new RequestQuarantine(clock);
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
            quarantine,
            registry);
    address = gateway.start(any);
    configure(draft -> {});
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
    list(listed);
  }

  void list(List<Endpoint> listed) throws Exception {
    run(() -> gateway.updateEndpoints(listed));
  }

  /** Puts a configuration into force that differs from the default by the given change. */
  void configure(Consumer<ConfigurationDraft> change) throws Exception {
    ConfigurationDraft draft = new ConfigurationDraft();
    change.accept(draft);
    configurationVersion++;
    run(() -> gateway.configure(draft.toConfiguration(configurationVersion)));
  }

  /** Puts a configuration into force that has no keys any more. */
  void removeKeys() throws Exception {
    configure(draft -> draft.accounts().clear());
  }

  /** Puts a configuration with other limits for callers into force. */
  void limitCallers(CallerLimits limits) throws Exception {
    configure(draft -> draft.setLimits(limits));
  }

  /** Puts a configuration into force that has no service of engines any more. */
  void removeEngineService() throws Exception {
    configure(draft -> draft.services().remove("pool"));
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

  /** Waits until this many requests have got an answer or the first event of a stream. */
  void awaitFirstAnswers(long count) throws Exception {
    long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    while (firstAnswers() < count && System.nanoTime() - giveUpAt < 0) {
      run(() -> {});
    }
    run(() -> {});
    assertThat(firstAnswers()).isEqualTo(count);
  }

  /** Waits until this many attempts of requests have failed. */
  void awaitFailedAttempts(long count) throws Exception {
    long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    while (failedAttempts() < count && System.nanoTime() - giveUpAt < 0) {
      run(() -> {});
    }
    run(() -> {});
    assertThat(failedAttempts()).isEqualTo(count);
  }

  private double failedAttempts() {
    String name = "clementineford_entry_failed_attempts";
    CounterSnapshot counter = (CounterSnapshot) registry.scrape(name::equals).get(0);
    return counter.getDataPoints().stream().mapToDouble(point -> point.getValue()).sum();
  }

  private long firstAnswers() {
    String name = "clementineford_entry_first_answer_seconds";
    HistogramSnapshot histogram = (HistogramSnapshot) registry.scrape(name::equals).get(0);
    return histogram.getDataPoints().stream().mapToLong(point -> point.getCount()).sum();
  }

  private double gauge(String name) {
    GaugeSnapshot gauge = (GaugeSnapshot) registry.scrape(name::equals).get(0);
    return gauge.getDataPoints().get(0).getValue();
  }

  /** Returns the sum of a counter over the data points with a label value; "" sums all. */
  long counter(String name, String labelValue) {
    double sum = 0;
    for (MetricSnapshot snapshot : registry.scrape()) {
      if (snapshot instanceof CounterSnapshot counter
          && name.equals(snapshot.getMetadata().getName() + "_total")) {
        for (CounterSnapshot.CounterDataPointSnapshot point : counter.getDataPoints()) {
          if (labelValue.isEmpty() || point.getLabels().getValue(0).equals(labelValue)) {
            sum += point.getValue();
          }
        }
      }
    }
    return Math.round(sum);
  }

  /** Waits until a counter of the gateway has a value. */
  void awaitCounter(String name, String labelValue, long value) throws Exception {
    long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    while (counter(name, labelValue) != value && System.nanoTime() - giveUpAt < 0) {
      run(() -> {});
    }
    assertThat(counter(name, labelValue)).as(name).isEqualTo(value);
  }

  /** Runs an action on the event loop, and waits for its end. */
  void run(Runnable action) throws Exception {
    eventLoops.submit(action).get();
  }

  /** Advances a virtual time in steps, and runs the timers that are due after each step. */
  void advance(VirtualTime time, long durationMs) throws Exception {
    for (long ms = 0; ms < durationMs; ms += 100) {
      time.advance(100, TimeUnit.MILLISECONDS);
      runDueTimers();
    }
  }

  /** Waits until timers that are due have run, each after a poll of the sockets. */
  void runDueTimers() throws Exception {
    for (int i = 0; i < 6; i++) {
      CompletableFuture<Void> polled = new CompletableFuture<>();
      // Timers that the event loop sets itself run in their order, unlike those of other threads.
      run(() -> eventLoops.schedule(() -> polled.complete(null), 0, TimeUnit.NANOSECONDS));
      polled.get(5, TimeUnit.SECONDS);
    }
  }

  /** Records that two engines crashed while they held requests with this part in their prompts. */
  void suspect(String promptPart) throws Exception {
    run(
        () -> {
          for (String engine : List.of("lost-1", "lost-2")) {
            quarantine.interrupted(engine, engine, Suspect.parts("pool", List.of(promptPart)));
            quarantine.crashed(engine);
          }
        });
  }

  /**
   * Begins a planned stop, in which new connections reach other entry VMs from 2.6 s on, and which
   * ends after 7.3 s.
   */
  void beginStop() throws Exception {
    long now = clock.nanoTime();
    Drain drain =
        new Drain(
            now + TimeUnit.MILLISECONDS.toNanos(2_600), now + TimeUnit.MILLISECONDS.toNanos(7_300));
    run(() -> gateway.beginStop(drain));
  }

  /** Ends a planned stop as the process does that reaches the end of its time. */
  void endStop() throws Exception {
    run(gateway::endRequests);
  }

  void setConfigurationAge(long millis) {
    configurationAge.set(TimeUnit.MILLISECONDS.toNanos(millis));
  }

  /** Runs an action on the event loop while it processes the head of a request. */
  void whileProcessing(String requestId, Runnable action) {
    protocol.whileDecoding(requestId, action);
  }

  /** Returns the protocol, in which a test can run actions. */
  TestProtocol protocol() {
    return protocol;
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
