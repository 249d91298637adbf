package org.clementineford.gateway.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.UnaryOperator;
import org.clementineford.serving.model.CallerLimits;
import org.clementineford.serving.model.EngineProfile;
import org.clementineford.serving.model.RequestKind;
import org.clementineford.serving.model.Route;
import org.clementineford.serving.model.RoutingClientAccount;
import org.clementineford.serving.model.RoutingConfiguration;
import org.clementineford.serving.model.Service;
import org.clementineford.serving.model.ServiceShare;

/** A configuration with a route for each kind of request, which tests change. */
final class ConfigurationDraft {
  private static final EngineProfile PROFILE =
      new EngineProfile(
          "m",
          GatewayFixture.SLOTS,
          1_640_000,
          6,
          6.73,
          0.0219,
          0.0068,
          30.6,
          0.647,
          964,
          119,
          Optional.empty());

  private final List<Route> routes = new ArrayList<>();
  private final Map<String, Service> services = new HashMap<>();
  private final Map<String, RoutingClientAccount> accounts = new HashMap<>();
  private CallerLimits limits = CallerLimits.DEFAULT;

  ConfigurationDraft() {
    addRoute("/get/", RequestKind.IDEMPOTENT, "plain", true);
    addRoute("/post/", RequestKind.NON_IDEMPOTENT, "plain", true);
    addRoute("/stream/", RequestKind.STREAM, "pool", true);
    // Callers of these routes wait for four seconds.
    routes.add(patientRoute("/patient/", 2, true));
    routes.add(patientRoute("/once/", 1, true));
    routes.add(patientRoute("/patient-keyed/", 2, false));
    addRoute("/keyed/", RequestKind.IDEMPOTENT, "plain", false);
    addRoute("/keyed-stream/", RequestKind.STREAM, "pool", false);
    putService("plain", Optional.empty());
    putService("pool", Optional.of(PROFILE));
    accounts.put("secret", new RoutingClientAccount("lorient", OptionalInt.empty()));
  }

  private void addRoute(String prefix, RequestKind kind, String service, boolean anonymous) {
    routes.add(route(prefix, kind, service, 2, anonymous, 2_000, 2_000));
  }

  private static Route patientRoute(String prefix, int attempts, boolean anonymous) {
    return route(prefix, RequestKind.STREAM, "pool", attempts, anonymous, 6_000, 4_000);
  }

  private static Route route(
      String prefix,
      RequestKind kind,
      String service,
      int attempts,
      boolean anonymous,
      int timeoutMs,
      int patienceMs) {
    return new Route(
        prefix,
        "127.0.0.1",
        prefix,
        kind,
        timeoutMs,
        200,
        1,
        List.of(new ServiceShare(service, 1)),
        attempts,
        anonymous,
        true,
        patienceMs);
  }

  private void putService(String name, Optional<EngineProfile> engine) {
    services.put(name, new Service(name, GatewayFixture.MAX_CONNECTIONS, engine, Optional.empty()));
  }

  List<Route> routes() {
    return routes;
  }

  Map<String, Service> services() {
    return services;
  }

  Map<String, RoutingClientAccount> accounts() {
    return accounts;
  }

  void setLimits(CallerLimits limits) {
    this.limits = limits;
  }

  /** Sets the timeout of all routes, in milliseconds. */
  void setTimeoutMs(int timeoutMs) {
    routes.replaceAll(route -> copy(route, timeoutMs, route.shares()));
  }

  /** Sets the services of all routes. */
  void setShares(UnaryOperator<List<ServiceShare>> shares) {
    routes.replaceAll(route -> copy(route, route.timeoutMs(), shares.apply(route.shares())));
  }

  /** Configures a plain service. */
  void putPlainService(String name) {
    putService(name, Optional.empty());
  }

  private static Route copy(Route route, int timeoutMs, List<ServiceShare> shares) {
    return new Route(
        route.name(),
        route.host(),
        route.pathPrefix(),
        route.kind(),
        timeoutMs,
        route.targetLatencyMs(),
        route.priority(),
        shares,
        route.maxAttempts(),
        route.anonymous(),
        route.resumable(),
        route.callerPatienceMs());
  }

  RoutingConfiguration toConfiguration(long version) {
    return new RoutingConfiguration(
        version, routes, List.copyOf(services.values()), accounts, true, limits);
  }
}
