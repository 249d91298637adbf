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
   * @param address address to listen on
   * @param dependencies objects used by the request handlers
   * @return the server
   * @throws ClementinefordException if the address cannot be used
   */
  public static AdminServer start(
      EventLoopGroup eventLoops, HostPort address, Dependencies dependencies)
      throws ClementinefordException {
    AdminRoutes routes = dependencies.routes();
    new DocumentRoutes(dependencies.configuration(), dependencies.operations()).register(routes);
    new FleetRoutes(dependencies.network(), dependencies.membership(), dependencies.diagnostics())
        .register(routes);
    routes.register("GET", "/ready", exchange -> ready(exchange, dependencies.ready()));
    routes.register("GET", "/metrics", new MetricsHandler(dependencies.metrics())::handle);
    return new AdminServer(
        HttpServer.start(eventLoops, address, MAX_BODY_BYTES, LinkShaping.NONE, routes));
  }

  /**
   * Objects used by the request handlers.
   *
   * @param routes table to which the routes are added
   * @param configuration configuration in force
   * @param operations reads and changes of the stored document
   * @param network connections to peers
   * @param membership members
   * @param diagnostics status and timeline of this process
   * @param ready returns whether the load balancer may send requests to this process
   * @param metrics registry of this process's metrics
   */
  public record Dependencies(
      AdminRoutes routes,
      ConfigurationAgent configuration,
      DocumentOperations operations,
      PeerNetwork network,
      MembershipView membership,
      DiagnosticsAgent diagnostics,
      BooleanSupplier ready,
      PrometheusRegistry metrics) {}

  /**
   * Returns the address on which the server listens.
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
