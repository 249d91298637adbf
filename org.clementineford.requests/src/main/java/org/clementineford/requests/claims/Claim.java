package org.clementineford.requests.claims;

import org.clementineford.kernel.HostPort;

/**
 * Claim of a non-idempotent request with a key: the only attempt that may run.
 *
 * @param attemptId identity of the attempt
 * @param vm endpoint VM that the attempt goes to
 * @param incarnation incarnation of that endpoint
 * @param address listener of that endpoint
 * @param digest digest of the request, SHA-256 in lower-case hexadecimal
 * @param done true if the attempt has ended
 * @param answer answer of the attempt, or null if it has not ended or was too large to keep
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
   * Makes the claim of an attempt that has ended.
   *
   * @param kept its answer, or null if it is too large to keep
   * @return the claim
   */
  public Claim finished(StoredAnswer kept) {
    return new Claim(attemptId, vm, incarnation, address, digest, true, kept);
  }
}
