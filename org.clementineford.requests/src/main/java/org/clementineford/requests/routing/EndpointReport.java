package org.clementineford.requests.routing;

import java.util.List;
import org.clementineford.kernel.VmIdentity;

/**
 * Load report of an endpoint.
 *
 * @param endpoint identity of the incarnation that sent it
 * @param backEnds back ends of the endpoint
 * @param leaving true if the endpoint accepts no new work
 */
public record EndpointReport(VmIdentity endpoint, List<BackEndReport> backEnds, boolean leaving) {
  /** Creates a report with a copy of the list. */
  public EndpointReport {
    backEnds = List.copyOf(backEnds);
  }
}
