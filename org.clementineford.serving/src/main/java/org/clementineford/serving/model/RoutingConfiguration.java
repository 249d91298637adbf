package org.clementineford.serving.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.clementineford.kernel.HostPort;

/** One version of the operators' configuration: routes, services and client accounts. */
public final class RoutingConfiguration {
  private final long version;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, Service> services = new HashMap<>();
  private final Map<String, ClientAccount> accountsByKey;
  private final boolean keysRequired;
  private final CallerLimits limits;

  /**
   * Creates a configuration.
   *
   * @param version version that the operator gave it
   * @param routes all routes
   * @param services all services
   * @param accountsByKey client accounts by each of their keys
   * @param keysRequired true if callers of routes that are not anonymous need a key
   * @param limits limits for callers
   */
  public RoutingConfiguration(
      long version,
      List<Route> routes,
      List<Service> services,
      Map<String, ClientAccount> accountsByKey,
      boolean keysRequired,
      CallerLimits limits) {
    this.version = version;
    for (Route route : routes) {
      routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
    routesByHost.values().forEach(list -> list.sort(longestFirst));
    services.forEach(service -> this.services.put(service.name(), service));
    this.accountsByKey = Map.copyOf(accountsByKey);
    this.keysRequired = keysRequired;
    this.limits = limits;
  }

  /**
   * Finds the route with the longest matching prefix.
   *
   * @param host host that the caller named, with or without a port
   * @param path path without query
   * @return the route, if there is one
   */
  public Optional<Route> route(String host, String path) {
    int colon = host.indexOf(':');
    String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    for (Route route : routesByHost.getOrDefault(name, List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /**
   * Finds a service.
   *
   * @param name name of the service
   * @return the service, if it is configured
   */
  public Optional<Service> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /**
   * Finds the origin of weights.
   *
   * @return its address, if a service states one
   */
  public Optional<HostPort> origin() {
    return services.values().stream().flatMap(service -> service.origin().stream()).findFirst();
  }

  /**
   * Finds the client account of a key.
   *
   * @param key the key
   * @return the account, if the key belongs to one
   */
  public Optional<ClientAccount> account(String key) {
    return Optional.ofNullable(accountsByKey.get(key));
  }

  /**
   * Tells whether a route asks its callers for a key.
   *
   * @param route the route
   * @return true if a request without a known key must be rejected
   */
  public boolean needsKey(Route route) {
    return keysRequired && !route.anonymous();
  }

  /**
   * Returns the version.
   *
   * @return version that the operator gave this configuration
   */
  public long version() {
    return version;
  }

  /**
   * Returns the limits for callers.
   *
   * @return limits for callers
   */
  public CallerLimits limits() {
    return limits;
  }
}
