package org.clementineford.entry.internal.requests;

import org.clementineford.kernel.HostPort;
import org.clementineford.requests.claims.Claim;
import org.clementineford.requests.routing.Candidate;

/**
 * An attempt and the endpoint that it is sent to.
 *
 * <p>The tick is the time of the endpoint's own clock when the attempt was created. A claimed
 * attempt keeps it while the claim is written. If the entry VM pauses in between, the endpoint
 * refuses the attempt as too old instead of running it after the record of a revocation has
 * expired.
 *
 * @param attemptId ID of the attempt
 * @param candidate endpoint and its back end
 * @param incarnation incarnation of the endpoint to which the connection is open
 * @param tick last tick received on the connection
 */
record AttemptTarget(String attemptId, Candidate candidate, long incarnation, long tick) {
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
