package org.clementineford.node.internal;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.BooleanSupplier;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.node.MembershipView;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.PeerNetwork;
import org.clementineford.transport.http.HttpExchange;
import org.clementineford.transport.http.HttpServer;
import org.clementineford.transport.http.MetricsHandler;

/** HTTP server for operators and for the platform's load balancer. */
public final class AdminServer implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 4 << 20;

  private final HttpServer server;

  private AdminServer(HttpServer server) {
    this.server = server;
  }

  /**
   * Starts a server.
   *
   * @param eventLoops threads of the connections
   * @param address where to listen
   * @param parts what the paths show
   * @return the server
   * @throws ClementinefordException if the address cannot be used
   */
  public static AdminServer start(EventLoopGroup eventLoops, HostPort address, Parts parts)
      throws ClementinefordException {
    AdminRoutes routes = parts.routes();
    new DocumentRoutes(parts.configuration(), parts.operations()).register(routes);
    new FleetRoutes(parts.network(), parts.membership(), parts.observation()).register(routes);
    routes.register("GET", "/ready", exchange -> ready(exchange, parts.ready()));
    routes.register("GET", "/metrics", new MetricsHandler(parts.metrics())::handle);
    return new AdminServer(
        HttpServer.start(eventLoops, address, MAX_BODY_BYTES, LinkShaping.NONE, routes));
  }

  /**
   * What the paths show.
   *
   * @param routes further paths
   * @param configuration configuration in force
   * @param operations changes of the document
   * @param network connections to peers
   * @param membership members
   * @param observation status and timeline of this process
   * @param ready tells whether the load balancer may send callers here
   * @param metrics registry of this process's metrics
   */
  public record Parts(
      AdminRoutes routes,
      ConfigurationAgent configuration,
      DocumentOperations operations,
      PeerNetwork network,
      MembershipView membership,
      ObservationAgent observation,
      BooleanSupplier ready,
      PrometheusRegistry metrics) {}

  /**
   * Returns the address in use.
   *
   * @return address with the actual port
   */
  public HostPort address() {
    return server.address();
  }

  private static void ready(HttpExchange exchange, BooleanSupplier ready) {
    boolean isReady = ready.getAsBoolean();
    AdminRoutes.respondText(exchange, isReady ? 200 : 503, isReady ? "ready" : "not ready");
  }

  @Override
  public void close() {
    server.close();
  }
}
