package org.clementineford.requests.claims;

import org.clementineford.kernel.HostPort;

/**
 * Claim of a non-idempotent request with an idempotency key. Names the only attempt that may run.
 *
 * @param attemptId identity of the attempt
 * @param vm name of the endpoint VM that the attempt is sent to
 * @param incarnation incarnation of that endpoint
 * @param address address on which that endpoint listens
 * @param digest digest of the request, SHA-256 in lower-case hexadecimal
 * @param done true if the attempt has ended
 * @param answer answer of the attempt, or null if it has not ended or the answer was too large to
 *     store
 */
public record Claim(
    String attemptId,
    String vm,
    long incarnation,
    HostPort address,
    String digest,
    boolean done,
    StoredAnswer answer) {

  /**
   * Returns a copy of this claim whose attempt has ended.
   *
   * @param storedAnswer answer of the attempt, or null if it is too large to store
   * @return the claim
   */
  public Claim finished(StoredAnswer storedAnswer) {
    return new Claim(attemptId, vm, incarnation, address, digest, true, storedAnswer);
  }
}
