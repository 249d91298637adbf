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
  private final Map<String, RoutingClientAccount> accountsByKey;
  private final boolean keysRequired;
  private final CallerLimits limits;

  /**
   * Creates a configuration.
   *
   * @param version version number that the operator gave it
   * @param routes all routes
   * @param services all services
   * @param accountsByKey client accounts by API key; an account may have several keys
   * @param keysRequired true if callers need an API key, except on anonymous routes
   * @param limits limits for callers
   */
  public RoutingConfiguration(
      long version,
      List<Route> routes,
      List<Service> services,
      Map<String, RoutingClientAccount> accountsByKey,
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
   * Finds the route of a request: the one with the longest matching path prefix.
   *
   * @param host host name that the caller sent, with or without a port
   * @param path path of the URL without the query
   * @return the route; empty if none matches
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
   * @return the service; empty if it is not configured
   */
  public Optional<Service> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /**
   * Finds the origin, from which weights are read.
   *
   * @return its address; empty if no service is the origin
   */
  public Optional<HostPort> origin() {
    return services.values().stream().flatMap(service -> service.origin().stream()).findFirst();
  }

  /**
   * Finds the client account of an API key.
   *
   * @param key the API key
   * @return the account; empty if the key belongs to none
   */
  public Optional<RoutingClientAccount> account(String key) {
    return Optional.ofNullable(accountsByKey.get(key));
  }

  /**
   * Returns whether callers of a route need an API key.
   *
   * @param route the route
   * @return true if a request without the key of a client account must be rejected
   */
  public boolean needsKey(Route route) {
    return keysRequired && !route.anonymous();
  }

  /**
   * Returns the version.
   *
   * @return version number that the operator gave this configuration
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
