package org.clementineford.gateway.internal;

import java.util.Optional;
import org.clementineford.serving.model.Route;

/** Leads requests whose service is no longer configured to where the route in force leads. */
final class ServiceChange {
  private final GatewayState state;
  private final QuarantineGuard quarantine;

  ServiceChange(GatewayState state, QuarantineGuard quarantine) {
    this.state = state;
    this.quarantine = quarantine;
  }

  /**
   * Changes the route and the service of a request if its service is gone, or ends it if there is
   * no route any more. A request that may have run keeps its service, and so does one that must run
   * once if its route now allows repeats.
   *
   * @return whether the request is still to be placed
   */
  boolean followIfServiceIsGone(ProxiedRequest request) {
    boolean configured = state.configuration().service(request.service()).isPresent();
    if (configured || !request.hasNotRun()) {
      return true;
    }
    Optional<Route> route =
        state.configuration().route(request.metadata().host(), request.metadata().path());
    if (route.isEmpty()) {
      request.fail(FailureReason.NO_ROUTE);
      return false;
    }
    if (route.get().mayRunAgain() && !request.route().mayRunAgain()) {
      return true;
    }
    request.changeRoute(route.get(), route.get().chooseService(state.random()));
    if (request.endIfKeyIsRejected()) {
      return false;
    }
    quarantine.quarantinedSuspect(request).ifPresent(request::suspectQuarantined);
    return !request.isFinished();
  }
}
