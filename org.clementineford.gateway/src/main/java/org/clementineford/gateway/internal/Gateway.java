package org.clementineford.gateway.internal;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.clementineford.fleet.VmSettings;
import org.clementineford.gateway.RequestProtocol;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.serving.directory.DirectoryCopyState;
import org.clementineford.serving.directory.ObjectKind;
import org.clementineford.serving.draining.Drain;
import org.clementineford.serving.model.CallerLimits;
import org.clementineford.serving.model.Endpoint;
import org.clementineford.serving.model.EngineProfile;
import org.clementineford.serving.model.RoutingConfiguration;
import org.clementineford.serving.model.Service;
import org.clementineford.serving.quarantine.RequestQuarantine;
import org.clementineford.serving.routing.EndpointLoad;
import org.clementineford.serving.routing.EndpointState;
import org.clementineford.serving.routing.EntryVmPosition;
import org.clementineford.serving.routing.MinimumWeightVersion;
import org.clementineford.serving.routing.SlotShare;
import org.clementineford.wire.EngineReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reverse proxy between callers and endpoints. Confined to the event loop thread, except for {@link
 * #requestsInProgress}.
 */
public final class Gateway {
  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);

  /** Age from which the last load report of an engine is no longer used. */
  private static final long REPORT_EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private static final long STOP_CHECK_INTERVAL_MS = 10;

  /** Time without bytes after which a connection without a request is closed in a stop. */
  private static final long STOP_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Interval of attempts to send waiting requests, in milliseconds. */
  private static final long DISPATCH_INTERVAL_MS = 20;

  private final GatewayState state;
  private final EventLoopGroup eventLoops;
  private final NanoClock clock;
  private final EndpointConnectionPool pool;
  private final RequestRouter router;
  private final QuarantineGuard quarantine;
  private final CallerListener listener;
  private final GatewayMetrics metrics;
  private final EventLoopMonitor eventLoopMonitor;
  private final Map<String, EndpointState> enginesByHost = new HashMap<>();
  private final Map<EndpointState, Long> lastReportAt = new HashMap<>();
  private List<Endpoint> listedEndpoints = List.of();
  private boolean stopping;
  private volatile int requestsInProgress;
  private volatile int openCallerConnections;
  private volatile boolean accepting = true;

  /**
   * Creates a gateway.
   *
   * @param settings settings of the VM
   * @param protocol reads and writes the headers of requests and responses
   * @param eventLoops event loop group with one thread
   * @param scheduler runs timers on that thread
   * @param clock monotonic clock
   * @param epochClock time of day
   * @param random random numbers of at least 0 and below 1
   * @param configurationAge time since the configuration was last confirmed to be current, in
   *     nanoseconds
   * @param position position of this VM among the entry VMs that share limits, such as that of the
   *     connections to an endpoint
   * @param quarantine prompt parts that crash engines
   * @param registry registry of metrics
   */
  public Gateway(
      VmSettings settings,
      RequestProtocol protocol,
      EventLoopGroup eventLoops,
      Scheduler scheduler,
      NanoClock clock,
      EpochClock epochClock,
      DoubleSupplier random,
      LongSupplier configurationAge,
      Supplier<EntryVmPosition> position,
      RequestQuarantine quarantine,
      PrometheusRegistry registry) {
    this.state = new GatewayState(settings, clock, epochClock, random, position);
    this.eventLoops = eventLoops;
    this.clock = clock;
    EventLoopInput input = new EventLoopInput(eventLoops, scheduler, clock);
    this.pool = new EndpointConnectionPool(eventLoops, protocol, clock, input);
    this.metrics = new GatewayMetrics(registry);
    this.quarantine = new QuarantineGuard(quarantine, pool, metrics);
    this.router =
        new RequestRouter(state, protocol, pool, input, configurationAge, metrics, this.quarantine);
    this.eventLoopMonitor =
        new EventLoopMonitor(clock, TimeUnit.MILLISECONDS.toNanos(DISPATCH_INTERVAL_MS), metrics);
    scheduler.scheduleWithFixedDelay(
        this::dispatchAllWaiting, DISPATCH_INTERVAL_MS, TimeUnit.MILLISECONDS);
    this.listener =
        new CallerListener(
            () ->
                state.configuration() == null
                    ? CallerLimits.DEFAULT
                    : state.configuration().limits(),
            protocol,
            metrics,
            input);
  }

  /**
   * Starts accepting connections of callers.
   *
   * @param address address to listen at; the operating system chooses a port if it is 0
   * @return the address in use
   * @throws ClementinefordException if the address cannot be used
   */
  public HostPort start(HostPort address) throws ClementinefordException {
    return listener.start(eventLoops, address, clock, this::accept);
  }

  private void dispatchAllWaiting() {
    eventLoopMonitor.taskStarted(router.requestsInProgress());
    router.dispatchAllWaiting();
    eventLoopMonitor.taskEnded();
  }

  private void accept(CallerExchange exchange) {
    router.accept(exchange);
    requestsInProgress = router.requestsInProgress();
  }

  /**
   * Returns whether callers should be routed to this VM.
   *
   * @return false until a configuration that was current and at least one endpoint are known, and
   *     while stopping
   */
  public boolean isReady() {
    return !stopping && router.hasConfiguration() && !listedEndpoints.isEmpty();
  }

  /**
   * Applies a configuration, unless the current one is as new or newer.
   *
   * @param configuration the configuration
   */
  public void configure(RoutingConfiguration configuration) {
    if (state.configure(configuration)) {
      LOG.atInfo().addKeyValue("version", configuration.version()).log("configuration in force");
      indexEnginesByHost();
      router.reviewWaiting();
    }
  }

  /**
   * Replaces the list of endpoints.
   *
   * @param endpoints all endpoints that the platform lists
   */
  public void updateEndpoints(Collection<Endpoint> endpoints) {
    endpoints.stream().filter(Endpoint::leaving).forEach(this::logLeaving);
    listedEndpoints = List.copyOf(endpoints);
    for (EndpointState removed : state.endpoints().update(listedEndpoints)) {
      pool.remove(removed);
      lastReportAt.remove(removed);
      quarantine.stopped(removed);
      LOG.atInfo().addKeyValue("endpoint", removed.endpoint()).log("endpoint gone");
    }
    indexEnginesByHost();
    router.dispatchAllWaiting();
  }

  /** Logs that an endpoint is listed as leaving which was in use until now. */
  private void logLeaving(Endpoint listed) {
    boolean inUse =
        state.endpoints().ofService(listed.service()).stream()
            .anyMatch(
                known -> known.endpoint().id().equals(listed.id()) && known.acceptsRequests());
    if (inUse) {
      LOG.atInfo().addKeyValue("endpoint", listed.id()).log("endpoint is listed as leaving");
    }
  }

  private void indexEnginesByHost() {
    enginesByHost.clear();
    for (EndpointState endpoint : state.endpoints().all()) {
      if (isEngine(endpoint.endpoint())) {
        enginesByHost.put(endpoint.endpoint().address().host(), endpoint);
      }
    }
  }

  private boolean isEngine(Endpoint endpoint) {
    return state.configuration() != null
        && state.configuration().service(endpoint.service()).flatMap(Service::engine).isPresent();
  }

  /**
   * Returns the engines, after discarding load reports that have expired.
   *
   * @return listed endpoints of services that have an engine profile
   */
  public List<Endpoint> engines() {
    expireReports();
    List<Endpoint> engines = new ArrayList<>();
    enginesByHost.values().forEach(engine -> engines.add(engine.endpoint()));
    return engines;
  }

  private void expireReports() {
    long now = clock.nanoTime();
    lastReportAt
        .entrySet()
        .removeIf(
            entry -> {
              boolean expired = now - entry.getValue() > REPORT_EXPIRY_NANOS;
              if (expired) {
                entry.getKey().reported(EndpointLoad.NONE);
                LOG.atInfo()
                    .addKeyValue("endpoint", entry.getKey().endpoint().id())
                    .log("no recent load reports; using the endpoint list instead");
              }
              return expired;
            });
  }

  /**
   * Processes a load report of an endpoint VM. Reports of unknown hosts, and those that are not
   * newer than the last one, are ignored.
   *
   * @param host address of the VM
   * @param report the report
   */
  public void onReport(String host, EngineReport report) {
    long now = clock.nanoTime();
    EndpointState engine = enginesByHost.get(host);
    if (engine == null || report.getNumber() <= engine.report().number()) {
      return;
    }
    String service = engine.endpoint().service();
    if (report.isSetEarlierTargets()) {
      report
          .getEarlierTargets()
          .forEach(named -> recordTarget(service, named.getVersion(), named.getAgeMs(), now));
    }
    recordTarget(service, report.getTargetVersion(), report.getTargetAgeMs(), now);
    if (engine.weightVersion() != report.getWeightVersion()) {
      LOG.atInfo()
          .addKeyValue("endpoint", engine.endpoint().id())
          .addKeyValue("weights", report.getWeightVersion())
          .log("engine reports a different version of weights");
    }
    if (report.isLeaving() && report.getIncarnation() == engine.endpoint().incarnation()) {
      router.endpointLeaves(engine);
    }
    lastReportAt.put(engine, now);
    if (report.getWeightVersion() > 0) {
      engine.heard(now);
    }
    int slots =
        state
            .configuration()
            .service(service)
            .flatMap(Service::engine)
            .map(EngineProfile::slots)
            .orElse(0);
    int freeSlots = slots - report.getRunning() - report.getWaiting();
    engine.reported(
        new EndpointLoad(
            report.getIncarnation(),
            report.getNumber(),
            report.getWeightVersion(),
            report.isChangingVersion(),
            report.getRunning(),
            report.getWaiting(),
            report.getPace()),
        SlotShare.requestsUntilNextReport(freeSlots, slots, state.entryVms(), state::random));
    router.dispatchWaiting(service);
  }

  /** Records a version of weights that was named; age -1 if it is not known when. */
  private void recordTarget(String service, long version, int ageMs, long now) {
    if (version <= 0) {
      return;
    }
    MinimumWeightVersion minimumVersion = state.minimumWeightVersion(service);
    boolean isNew =
        ageMs < 0
            ? minimumVersion.addTargetWithUnknownTime(version, now)
            : minimumVersion.addTarget(version, now - TimeUnit.MILLISECONDS.toNanos(ageMs));
    if (isNew) {
      LOG.atInfo()
          .addKeyValue("version", version)
          .addKeyValue("ageMs", ageMs)
          .log("version of weights named");
    }
  }

  /**
   * Records the state of a copy of platform objects.
   *
   * @param kind kind of the objects
   * @param copy the copy
   */
  public void recordPlatformCopy(ObjectKind kind, DirectoryCopyState copy) {
    metrics.recordPlatformCopy(
        kind.name(), copy.position().era(), copy.kept().size() + copy.withheld().size());
  }

  /**
   * Records whether this VM watches the platform, or follows VMs that do.
   *
   * @param observing true if it watches the platform
   */
  public void recordObserving(boolean observing) {
    metrics.recordObserving(observing);
  }

  /**
   * Records the time since a copy of platform objects was last proved current.
   *
   * @param kind kind of the objects
   * @param ageNanos the time in nanoseconds; the largest number if it never was
   */
  public void recordCopyAge(ObjectKind kind, long ageNanos) {
    metrics.recordCopyAge(kind.name(), TimeUnit.NANOSECONDS.toMillis(ageNanos));
  }

  /** Applies the quarantine to requests in progress, after records of other VMs were added. */
  public void quarantineChanged() {
    quarantine.update();
  }

  /**
   * Closes the connections of callers that have exceeded the idle timeout, and counts the endpoints
   * that get no requests.
   */
  public void closeIdle() {
    state.recordMarks(metrics);
    countCallers();
    listener.closeIdle();
  }

  /**
   * Reports this VM as not ready and closes each connection after its next response, so that
   * callers connect to other VMs. Requests are still served if they end before this process.
   *
   * @param drain the stop
   */
  public void beginStop(Drain drain) {
    stopping = true;
    state.stopAdmission().begin(drain);
    listener.beginStop();
    router.dispatchAllWaiting();
  }

  /**
   * Stops accepting connections, and closes those on which nothing happens. A connection on which
   * bytes arrived just before may hold a part of a request.
   */
  public void stopAccepting() {
    listener.stopAccepting(this::acceptedLast);
  }

  private void acceptedLast() {
    closeIdleWhileStopping();
    accepting = false;
    eventLoops.scheduleWithFixedDelay(
        this::closeIdleWhileStopping,
        STOP_CHECK_INTERVAL_MS,
        STOP_CHECK_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  private void closeIdleWhileStopping() {
    listener.closeIdleWhileStopping(STOP_IDLE_NANOS);
    countCallers();
  }

  /** Ends all requests, each with the response that is true of it, because the process ends. */
  public void endRequests() {
    router.endForStop();
    countCallers();
  }

  /** Closes the connections that are still open, because the process ends. */
  public void closeCallers() {
    listener.closeAll();
    countCallers();
  }

  private void countCallers() {
    requestsInProgress = router.requestsInProgress();
    openCallerConnections = listener.openConnections();
  }

  /**
   * Returns whether all callers have their answers: no request is in progress, and each connection
   * has closed, which it does once its last answer is written. May be called from any thread.
   *
   * @return true if the process may end; false until {@link #stopAccepting} has run, since the
   *     counts are older
   */
  public boolean isDrained() {
    return !accepting && requestsInProgress == 0 && openCallerConnections == 0;
  }

  /**
   * Returns the number of connections of callers. May be called from any thread.
   *
   * @return open connections, as of the last check
   */
  public int openCallerConnections() {
    return openCallerConnections;
  }

  /**
   * Returns the number of requests that were read completely. May be called from any thread.
   *
   * @return number of requests since the start
   */
  public long requestsRead() {
    return metrics.read();
  }

  /**
   * Returns the number of requests that ended. May be called from any thread.
   *
   * @return number of requests since the start; that of the requests read once all have ended
   */
  public long requestsEnded() {
    return metrics.ended();
  }

  /**
   * Returns the number of requests in progress. May be called from any thread.
   *
   * @return number of requests without a final response
   */
  public int requestsInProgress() {
    return requestsInProgress;
  }
}
