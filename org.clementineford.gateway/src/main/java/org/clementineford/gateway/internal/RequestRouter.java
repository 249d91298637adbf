package org.clementineford.gateway.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.clementineford.gateway.RequestProtocol;
import org.clementineford.kernel.Scheduler;
import org.clementineford.serving.model.CallerRequest;
import org.clementineford.serving.model.ClientAccount;
import org.clementineford.serving.model.EngineProfile;
import org.clementineford.serving.model.Route;
import org.clementineford.serving.model.RoutingConfiguration;
import org.clementineford.serving.model.Service;
import org.clementineford.serving.routing.EndpointState;

/** Authenticates requests against the configuration and routes them to endpoints of services. */
final class RequestRouter {
  private static final long PUMP_INTERVAL_MS = 20;

  private final GatewayState state;
  private final RequestProtocol protocol;
  private final EndpointPool pool;
  private final Scheduler scheduler;
  private final LongSupplier configurationAge;
  private final RequestMetrics metrics;
  private final Map<String, EngineQueue> queues = new HashMap<>();
  private int running;

  RequestRouter(
      GatewayState state,
      RequestProtocol protocol,
      EndpointPool pool,
      Scheduler scheduler,
      LongSupplier configurationAge,
      RequestMetrics metrics) {
    this.state = state;
    this.protocol = protocol;
    this.pool = pool;
    this.scheduler = scheduler;
    this.configurationAge = configurationAge;
    this.metrics = metrics;
    scheduler.scheduleEvery(this::pumpAll, PUMP_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  GatewayState state() {
    return state;
  }

  RequestProtocol protocol() {
    return protocol;
  }

  EndpointPool pool() {
    return pool;
  }

  Scheduler scheduler() {
    return scheduler;
  }

  RequestMetrics metrics() {
    return metrics;
  }

  /** Returns the number of requests without a final response. */
  int running() {
    return running;
  }

  void ended() {
    running--;
  }

  /** Accepts a request that was read completely. */
  void accept(CallerExchange exchange) {
    running++;
    CallerRequest request = protocol.decodeRequest(exchange.head());
    RequestRun run = new RequestRun(this, exchange, request);
    RoutingConfiguration configuration = state.configuration();
    if (configuration == null) {
      run.refuse(Ending.NO_CONFIGURATION, state.admission().retryAfterSeconds(0));
      return;
    }
    Optional<Route> route = configuration.route(request.host(), request.path());
    if (route.isEmpty()) {
      run.end(Ending.NO_ROUTE);
      return;
    }
    run.start(route.get(), route.get().service(state.random()));
  }

  /**
   * Checks the key of a request. Called on arrival and before each attempt, since the key may have
   * been removed while the request waited.
   *
   * @return reason why the request must not be sent; empty if it may be sent
   */
  Optional<Ending> checkKey(RequestRun run) {
    RoutingConfiguration configuration = state.configuration();
    if (!configuration.needsKey(run.route())) {
      return Optional.empty();
    }
    if (!state.areKeysProven(configurationAge.getAsLong())) {
      return Optional.of(Ending.KEY_NOT_PROVEN);
    }
    return account(run).isPresent() ? Optional.empty() : Optional.of(Ending.UNKNOWN_KEY);
  }

  Optional<ClientAccount> account(RequestRun run) {
    return run.request().key().flatMap(key -> state.configuration().account(key));
  }

  long configurationAgeMs() {
    return TimeUnit.NANOSECONDS.toMillis(configurationAge.getAsLong());
  }

  /** Chooses an endpoint and sends the request to it, or queues or refuses the request. */
  void place(RequestRun run) {
    Optional<Service> service = state.configuration().service(run.service());
    if (service.isEmpty()) {
      run.refuse(Ending.NO_ENDPOINT, state.admission().retryAfterSeconds(0));
      return;
    }
    if (service.get().engine().isPresent()) {
      queue(run.service()).submit(run, service.get().engine().get());
      return;
    }
    placePlain(run, state.connections(service.get()));
  }

  private void placePlain(RequestRun run, int connections) {
    List<EndpointState> endpoints = state.endpoints().ofService(run.service());
    Optional<EndpointState> endpoint =
        state
            .placement()
            .plain(
                endpoints,
                run.tried(),
                connections,
                run.route().mayRunAgain(),
                state.clock().nanoTime());
    if (endpoint.isPresent()) {
      run.send(endpoint.get());
      return;
    }
    boolean full = endpoints.stream().anyMatch(each -> each.outstanding() >= connections);
    run.refuse(
        full ? Ending.OVERLOADED : Ending.NO_ENDPOINT, state.admission().retryAfterSeconds(0));
  }

  private EngineQueue queue(String service) {
    return queues.computeIfAbsent(service, name -> new EngineQueue(state, name));
  }

  void removeWaiting(RequestRun run) {
    EngineQueue queue = queues.get(run.service());
    if (queue != null) {
      queue.remove(run);
    }
  }

  /** Sends waiting requests of a service, as far as its engines have free slots. */
  void pump(String service) {
    EngineQueue queue = queues.get(service);
    if (queue != null) {
      profile(service).ifPresent(queue::pump);
    }
  }

  void pumpAll() {
    queues.keySet().forEach(this::pump);
  }

  private Optional<EngineProfile> profile(String service) {
    return state.configuration().service(service).flatMap(Service::engine);
  }
}
