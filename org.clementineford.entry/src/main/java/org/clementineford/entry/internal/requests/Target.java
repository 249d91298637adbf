package org.clementineford.entry.internal.requests;

import org.clementineford.kernel.HostPort;
import org.clementineford.requests.claims.Claim;
import org.clementineford.requests.routing.Candidate;

/**
 * An attempt and the endpoint that it goes to.
 *
 * <p>The tick is the endpoint's own time when the attempt was named. A claimed attempt keeps it
 * while the claim is written, so an entry VM that pauses in between cannot send the attempt after
 * the endpoint has forgotten its revocation.
 *
 * @param attemptId identity of the attempt
 * @param candidate the endpoint and its back end
 * @param incarnation incarnation that the connection leads to
 * @param tick last tick that was received on the connection
 */
record Target(String attemptId, Candidate candidate, long incarnation, long tick) {
  String vm() {
    return candidate.endpoint().vm();
  }

  HostPort address() {
    return candidate.endpoint().address();
  }

  Claim toClaim(String digest) {
    return new Claim(attemptId, vm(), incarnation, address(), digest, false, null);
  }
}
