package org.clementineford.gateway.internal;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.clementineford.gateway.RequestProtocol;
import org.clementineford.serving.model.EngineProfile;
import org.clementineford.serving.model.RequestMetadata;
import org.clementineford.serving.model.Route;
import org.clementineford.serving.model.RoutingClientAccount;
import org.clementineford.serving.model.RoutingConfiguration;
import org.clementineford.serving.model.Service;
import org.clementineford.serving.routing.EndpointState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Authenticates requests against the configuration and routes them to endpoints of services. */
final class RequestRouter {
  private static final Logger LOG = LoggerFactory.getLogger(RequestRouter.class);
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final GatewayState state;
  private final RequestProtocol protocol;
  private final EndpointConnectionPool pool;
  private final EventLoopInput input;
  private final LongSupplier configurationAge;
  private final GatewayMetrics metrics;
  private final QuarantineGuard quarantine;
  private final Map<String, EngineQueue> queues = new HashMap<>();
  private final ServiceChange serviceChange;
  private final Set<ProxiedRequest> requestsInProgress = new LinkedHashSet<>();

  RequestRouter(
      GatewayState state,
      RequestProtocol protocol,
      EndpointConnectionPool pool,
      EventLoopInput input,
      LongSupplier configurationAge,
      GatewayMetrics metrics,
      QuarantineGuard quarantine) {
    this.state = state;
    this.protocol = protocol;
    this.pool = pool;
    this.input = input;
    this.configurationAge = configurationAge;
    this.metrics = metrics;
    this.quarantine = quarantine;
    this.serviceChange = new ServiceChange(state, quarantine);
  }

  GatewayState state() {
    return state;
  }

  RequestProtocol protocol() {
    return protocol;
  }

  EndpointConnectionPool pool() {
    return pool;
  }

  EventLoopInput input() {
    return input;
  }

  GatewayMetrics metrics() {
    return metrics;
  }

  QuarantineGuard quarantine() {
    return quarantine;
  }

  /** Returns the number of requests without a final response. */
  int requestsInProgress() {
    return requestsInProgress.size();
  }

  /** Ends all requests, because the process ends. */
  void endForStop() {
    List.copyOf(requestsInProgress).forEach(request -> request.guarded(request::endForStop).run());
  }

  void requestEnded(ProxiedRequest request) {
    requestsInProgress.remove(request);
    quarantine.ended(request);
  }

  /** Returns whether there is a configuration that was confirmed to be current at some time. */
  boolean hasConfiguration() {
    return state.configuration() != null && configurationAge.getAsLong() < Long.MAX_VALUE;
  }

  /** Accepts a request that was read completely. */
  void accept(CallerExchange exchange) {
    ProxiedRequest proxiedRequest;
    try {
      RequestMetadata metadata = protocol.decodeRequest(exchange.head());
      proxiedRequest = new ProxiedRequest(this, exchange, metadata);
    } catch (RuntimeException | Error e) {
      refuseUndecoded(exchange, e);
      return;
    }
    requestsInProgress.add(proxiedRequest);
    proxiedRequest.guarded(() -> route(proxiedRequest)).run();
  }

  private void refuseUndecoded(CallerExchange exchange, Throwable error) {
    LOG.atError().setCause(error).log(ProxiedRequest.UNEXPECTED);
    metrics.recordEnd(FailureReason.INTERNAL_ERROR.name());
    exchange.respond(FailureReason.INTERNAL_ERROR.status(), EmptyHttpHeaders.INSTANCE, new byte[0]);
  }

  private void route(ProxiedRequest proxiedRequest) {
    RequestMetadata metadata = proxiedRequest.metadata();
    if (!hasConfiguration()) {
      proxiedRequest.refuse(FailureReason.NO_CONFIGURATION, state.admission().retryAfterSeconds(0));
      return;
    }
    Optional<Route> route = state.configuration().route(metadata.host(), metadata.path());
    if (route.isEmpty()) {
      proxiedRequest.fail(FailureReason.NO_ROUTE);
      return;
    }
    proxiedRequest.start(route.get(), route.get().chooseService(state.random()));
  }

  /**
   * Checks the key of a request. Called on arrival and before each attempt, since the key may have
   * been removed while the request waited.
   *
   * @return reason why the request must not be sent; empty if it may be sent
   */
  Optional<FailureReason> checkKey(ProxiedRequest request) {
    RoutingConfiguration configuration = state.configuration();
    if (!configuration.needsKey(request.route())) {
      return Optional.empty();
    }
    if (!state.mayAcceptKeys(configurationAge.getAsLong())) {
      return Optional.of(FailureReason.KEY_NOT_PROVEN);
    }
    return clientAccount(request).isPresent()
        ? Optional.empty()
        : Optional.of(FailureReason.UNKNOWN_KEY);
  }

  Optional<RoutingClientAccount> clientAccount(ProxiedRequest request) {
    return request.metadata().key().flatMap(key -> state.configuration().account(key));
  }

  long configurationAgeMs() {
    return TimeUnit.NANOSECONDS.toMillis(configurationAge.getAsLong());
  }

  /**
   * Chooses an endpoint and sends the request to it, or queues or refuses the request. Each attempt
   * of a request begins here, except a move away from a silent endpoint.
   */
  void place(ProxiedRequest request) {
    if (!state.stopAdmission().admits(request)) {
      request.endForStop();
      return;
    }
    if (!serviceChange.followIfServiceIsGone(request)) {
      return;
    }
    Optional<Service> service = state.configuration().service(request.service());
    if (service.isEmpty()) {
      request.refuse(FailureReason.NO_ENDPOINT, state.admission().retryAfterSeconds(0));
      return;
    }
    if (service.get().engine().isPresent()) {
      queue(request.service()).submit(request, service.get().engine().get());
      return;
    }
    placePlain(request, state.connectionLimit(service.get()));
  }

  /** Returns the endpoint to which a request would be sent now; empty if there is none. */
  Optional<EndpointState> findEndpoint(ProxiedRequest request) {
    Optional<Service> service = state.configuration().service(request.service());
    if (service.isEmpty()) {
      return Optional.empty();
    }
    Optional<EngineProfile> engine = service.get().engine();
    return engine.isPresent()
        ? queue(request.service()).findEngine(request, engine.get())
        : findPlainEndpoint(request, state.connectionLimit(service.get()));
  }

  private Optional<EndpointState> findPlainEndpoint(ProxiedRequest request, int connectionLimit) {
    return state
        .placement()
        .choosePlainEndpoint(
            state.endpoints().ofService(request.service()),
            request.triedEndpoints(),
            connectionLimit,
            request.route().mayRunAgain(),
            state.clock().nanoTime());
  }

  private void placePlain(ProxiedRequest request, int connectionLimit) {
    Optional<EndpointState> endpoint = findPlainEndpoint(request, connectionLimit);
    if (endpoint.isPresent()) {
      request.send(endpoint.get());
      return;
    }
    request.trace().recordMarks(state.marks(request.service()));
    double pauseSeconds = state.pauseNanos(request.service()) / NANOS_PER_SECOND;
    if (pauseSeconds > 0) {
      request.refuse(FailureReason.ENDPOINTS_PAUSED, pauseSeconds);
      return;
    }
    double waitSeconds = state.waitNanos(request.service()) / NANOS_PER_SECOND;
    if (waitSeconds > 0) {
      request.refuse(FailureReason.OVERLOADED, waitSeconds * (1 + state.random() / 4));
      return;
    }
    boolean full =
        state.endpoints().ofService(request.service()).stream()
            .anyMatch(each -> each.outstanding() >= connectionLimit);
    request.refuse(
        full ? FailureReason.OVERLOADED : FailureReason.NO_ENDPOINT,
        state.admission().retryAfterSeconds(0));
  }

  /** Sends no further requests to an endpoint that says that it is leaving. */
  void endpointLeaves(EndpointState endpoint) {
    if (endpoint.markLeaving()) {
      LOG.atInfo()
          .addKeyValue("endpoint", endpoint.endpoint().id())
          .log("endpoint says that it is leaving");
      pool.closeIdle(endpoint);
    }
  }

  private EngineQueue queue(String service) {
    return queues.computeIfAbsent(service, name -> new EngineQueue(state, name));
  }

  void removeFromQueue(ProxiedRequest request) {
    EngineQueue queue = queues.get(request.service());
    if (queue != null) {
      queue.remove(request);
    }
  }

  /** Sends waiting requests of a service, as far as its engines have free slots. */
  void dispatchWaiting(String service) {
    EngineQueue queue = queues.get(service);
    if (queue != null) {
      try {
        state.engineProfile(service).ifPresent(queue::dispatchWaiting);
      } catch (RuntimeException | Error e) {
        // The caller may be another request, or the periodic task.
        LOG.atError()
            .setCause(e)
            .addKeyValue("service", service)
            .log("error while sending waiting requests");
      }
    }
  }

  void dispatchAllWaiting() {
    List.copyOf(queues.keySet()).forEach(this::dispatchWaiting);
  }

  /** Applies a configuration that came into force to the waiting requests. */
  void reviewWaiting() {
    List<ProxiedRequest> unqueued = new ArrayList<>();
    queues.forEach((service, queue) -> unqueued.addAll(queue.review(state.engineProfile(service))));
    unqueued.forEach(request -> request.guarded(() -> place(request)).run());
    dispatchAllWaiting();
  }
}
