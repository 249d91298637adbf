package org.clementineford.gateway.internal;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.clementineford.fleet.VmSettings;
import org.clementineford.serving.model.EngineProfile;
import org.clementineford.serving.model.RoutingConfiguration;
import org.clementineford.serving.model.Service;
import org.clementineford.serving.queueing.QueueAdmissionPolicy;
import org.clementineford.serving.routing.ConnectionShare;
import org.clementineford.serving.routing.EndpointMark;
import org.clementineford.serving.routing.EndpointState;
import org.clementineford.serving.routing.EntryVmPosition;
import org.clementineford.serving.routing.ListedEndpointTable;
import org.clementineford.serving.routing.MinimumWeightVersion;
import org.clementineford.serving.routing.Placement;
import org.clementineford.serving.routing.RequestRateLimit;
import org.clementineford.serving.routing.SharedRetryBudget;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * State that all requests of an entry VM share: the configuration, the endpoints and the limits.
 * Not thread-safe.
 */
final class GatewayState {
  private static final Logger LOG = LoggerFactory.getLogger(GatewayState.class);

  /** Longest time from the check of a request's key to its start at an endpoint. */
  private static final long KEY_MARGIN_MS = 400;

  private final VmSettings settings;
  private final NanoClock clock;
  private final DoubleSupplier random;
  private final EpochClock epochClock;
  private final Supplier<EntryVmPosition> position;
  private final ListedEndpointTable endpoints = new ListedEndpointTable();
  private final Placement placement;
  private final QueueAdmissionPolicy admission;
  private final Map<String, MinimumWeightVersion> minimumWeightVersions = new HashMap<>();
  private final Map<String, SharedRetryBudget> retryBudgets = new HashMap<>();
  private final StopAdmission stopAdmission;
  private final Set<EndpointState> paused = new HashSet<>();
  private RoutingConfiguration configuration;

  GatewayState(
      VmSettings settings,
      NanoClock clock,
      EpochClock epochClock,
      DoubleSupplier random,
      Supplier<EntryVmPosition> position) {
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    this.epochClock = epochClock;
    this.position = position;
    this.placement = new Placement(settings.dataCentre(), random);
    this.admission = new QueueAdmissionPolicy(random);
    this.stopAdmission = new StopAdmission(clock, this::engineProfile);
  }

  NanoClock clock() {
    return clock;
  }

  double random() {
    return random.getAsDouble();
  }

  ListedEndpointTable endpoints() {
    return endpoints;
  }

  Placement placement() {
    return placement;
  }

  QueueAdmissionPolicy admission() {
    return admission;
  }

  StopAdmission stopAdmission() {
    return stopAdmission;
  }

  /** Returns the profile of the engines of a service; empty if it has none or is not configured. */
  Optional<EngineProfile> engineProfile(String service) {
    return configuration.service(service).flatMap(Service::engine);
  }

  /** Returns the minimum weight version of a service; each service has its own weights. */
  MinimumWeightVersion minimumWeightVersion(String service) {
    return minimumWeightVersions.computeIfAbsent(
        service, name -> new MinimumWeightVersion(settings.bounds().versionSwitchMs()));
  }

  /** Returns the configuration in force; null until the first one is received. */
  RoutingConfiguration configuration() {
    return configuration;
  }

  /**
   * Applies a configuration, unless the current one is as new or newer.
   *
   * @return true if the configuration was applied
   */
  boolean configure(RoutingConfiguration next) {
    if (configuration != null && configuration.version() >= next.version()) {
      return false;
    }
    configuration = next;
    return true;
  }

  /** Returns the number of entry VMs that share limits. */
  int entryVms() {
    return position.get().entryVms();
  }

  /** Returns the number of connections that this entry VM may open to one endpoint of a service. */
  int connectionLimit(Service service) {
    return ConnectionShare.connections(service.maxConnections(), entryVms());
  }

  SharedRetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(
        service,
        name ->
            new SharedRetryBudget(
                settings.bounds().retryRatio(),
                settings.bounds().fixedRetriesPerWindow(),
                settings.bounds().retryWindowSeconds(),
                this::entryVms));
  }

  /** Records the limit of requests per second that a response of an endpoint names. */
  void updateRequestLimit(EndpointState endpoint, OptionalDouble requestsPerSecond) {
    RequestRateLimit limit = endpoint.requestLimit();
    final boolean limitedBefore = limit.isLimited();
    if (!limitedBefore && requestsPerSecond.isEmpty()) {
      return;
    }
    limit.update(requestsPerSecond, position.get(), epochClock.time(), clock.nanoTime());
    if (limit.isLimited() != limitedBefore) {
      LOG.atInfo()
          .addKeyValue("endpoint", endpoint.endpoint().id())
          .addKeyValue("requestsPerSecond", requestsPerSecond.orElse(-1))
          .addKeyValue("share", limit.isLimited() ? limit.requestsPerSecond() : -1)
          .log(
              limit.isLimited()
                  ? "endpoint limits its requests"
                  : "endpoint no longer limits its requests");
    }
  }

  /** Records the pause that a response of an endpoint asks for. */
  void beginPause(EndpointState endpoint, OptionalDouble seconds) {
    if (seconds.isEmpty()) {
      return;
    }
    endpoint.pause().begin(seconds.getAsDouble(), clock.nanoTime());
    LOG.atInfo()
        .addKeyValue("endpoint", endpoint.endpoint().id())
        .addKeyValue("seconds", seconds.getAsDouble())
        .log("endpoint asks for a pause");
  }

  /** Counts the endpoints by mark, and logs the pauses that have ended. */
  void recordMarks(GatewayMetrics metrics) {
    long now = clock.nanoTime();
    Map<EndpointMark, Integer> counts = new EnumMap<>(EndpointMark.class);
    for (EndpointState endpoint : endpoints.all()) {
      endpoint.mark(now).ifPresent(mark -> counts.merge(mark, 1, Integer::sum));
      if (endpoint.pause().waitNanos(now) > 0) {
        paused.add(endpoint);
      }
    }
    metrics.recordMarks(counts);
    paused.removeIf(
        endpoint -> {
          boolean ended = endpoint.pause().waitNanos(now) == 0;
          if (ended) {
            LOG.atInfo()
                .addKeyValue("endpoint", endpoint.endpoint().id())
                .log("pause of an endpoint ended");
          }
          return ended || !endpoint.acceptsRequests();
        });
  }

  /**
   * Returns the time until an endpoint of a service gets requests, if all that are listed and not
   * leaving are paused or limited; 0 if any gets them now.
   */
  long waitNanos(String service) {
    long now = clock.nanoTime();
    return endpoints.ofService(service).stream()
        .filter(EndpointState::acceptsRequests)
        .mapToLong(endpoint -> endpoint.waitNanos(now))
        .min()
        .orElse(0);
  }

  /** Returns the time until the first pause ends, if all endpoints of a service are paused. */
  long pauseNanos(String service) {
    long now = clock.nanoTime();
    return endpoints.ofService(service).stream()
        .filter(EndpointState::acceptsRequests)
        .mapToLong(endpoint -> endpoint.pause().waitNanos(now))
        .min()
        .orElse(0);
  }

  /** Returns the marks of the endpoints of a service that get no request now, for logs. */
  String marks(String service) {
    long now = clock.nanoTime();
    List<String> marks = new ArrayList<>();
    for (EndpointState endpoint : endpoints.ofService(service)) {
      endpoint.mark(now).ifPresent(mark -> marks.add(endpoint.endpoint().id() + ":" + mark));
    }
    return String.join(",", marks);
  }

  /**
   * Returns whether keys of callers may be accepted.
   *
   * @param configurationAgeNanos time since the configuration was last confirmed to be current
   */
  boolean mayAcceptKeys(long configurationAgeNanos) {
    long limitMs = settings.bounds().keyRevocationMs() - KEY_MARGIN_MS;
    return !settings.bounds().failClosedOnStaleKeys()
        || configurationAgeNanos < TimeUnit.MILLISECONDS.toNanos(limitMs);
  }
}
