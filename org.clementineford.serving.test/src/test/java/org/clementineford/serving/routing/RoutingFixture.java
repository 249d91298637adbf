package org.clementineford.serving.routing;

import java.util.Optional;
import org.clementineford.kernel.HostPort;
import org.clementineford.serving.model.Endpoint;
import org.clementineford.serving.model.EngineProfile;

/** Creates endpoints, load reports and an engine profile for tests of routing. */
final class RoutingFixture {
  static final EngineProfile PROFILE =
      new EngineProfile(
          "m", 4, 1_640_000, 6, 6.73, 0.0219, 0.0068, 30.6, 0.647, 964, 119, Optional.empty());

  private RoutingFixture() {}

  static Endpoint endpoint(String id, long incarnation, int port, String dataCentre) {
    return new Endpoint(
        id, incarnation, "pool", new HostPort("10.0.0.1", port), dataCentre, false, 1);
  }

  static EndpointState state(String id, String dataCentre) {
    return new EndpointState(endpoint(id, 1, 1, dataCentre));
  }

  static EndpointLoad report(long number, long version, boolean changing, int running) {
    return new EndpointLoad(1, number, version, changing, running, 0, 1.0);
  }
}
