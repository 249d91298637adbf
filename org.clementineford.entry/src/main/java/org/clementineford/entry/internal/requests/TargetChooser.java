package org.clementineford.entry.internal.requests;

import java.util.Optional;
import java.util.function.Predicate;
import org.clementineford.requests.routing.BackEndId;
import org.clementineford.requests.routing.Candidate;
import org.clementineford.requests.routing.EndpointTable;
import org.clementineford.requests.routing.Router;
import org.clementineford.transport.PeerInfo;

/** Chooses an endpoint with an open connection for an attempt. */
final class TargetChooser {
  private final Router router;
  private final EndpointTable endpoints;
  private final PeerExchanges connections;

  TargetChooser(Router router, EndpointTable endpoints, PeerExchanges connections) {
    this.router = router;
    this.endpoints = endpoints;
    this.connections = connections;
  }

  Optional<AttemptTarget> choose(
      BackEndId backEnd,
      String prefixHash,
      String attemptId,
      Predicate<String> excluded,
      long nowNanos) {
    Predicate<Candidate> usable =
        candidate -> !excluded.test(candidate.endpoint().vm()) && isConnected(candidate);
    return router
        .choose(backEnd, prefixHash, usable, nowNanos)
        .map(candidate -> target(candidate, attemptId));
  }

  /**
   * Returns whether an endpoint could serve the request once a connection to it is open. This is
   * also true before the first load report of any endpoint.
   */
  boolean mayBecomeUsable(BackEndId backEnd, Predicate<String> excluded, long nowNanos) {
    Predicate<Candidate> usable = candidate -> !excluded.test(candidate.endpoint().vm());
    return endpoints.isEmpty() || router.choose(backEnd, null, usable, nowNanos).isPresent();
  }

  private AttemptTarget target(Candidate candidate, String attemptId) {
    PeerInfo peer = connections.peer(candidate.endpoint().address());
    // The connection may have been replaced since the check. The endpoint refuses a dispatch for an
    // unknown incarnation as not run.
    long incarnation = peer.identity() == null ? 0 : peer.identity().getIncarnation();
    return new AttemptTarget(attemptId, candidate, incarnation, peer.lastTick());
  }

  private boolean isConnected(Candidate candidate) {
    PeerInfo peer = connections.peer(candidate.endpoint().address());
    return peer.identity() != null
        && peer.lastTick() != 0
        && peer.identity().getVm().equals(candidate.endpoint().vm());
  }
}
