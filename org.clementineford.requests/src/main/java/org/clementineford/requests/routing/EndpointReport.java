package org.clementineford.requests.routing;

import java.util.List;
import org.clementineford.kernel.VmIdentity;

/**
 * Load report of an endpoint.
 *
 * @param endpoint identity of the incarnation that sent it
 * @param backEnds its back ends
 * @param leaving true if the endpoint takes no new work
 */
public record EndpointReport(VmIdentity endpoint, List<BackEndReport> backEnds, boolean leaving) {
  /** Copies the list. */
  public EndpointReport {
    backEnds = List.copyOf(backEnds);
  }
}
