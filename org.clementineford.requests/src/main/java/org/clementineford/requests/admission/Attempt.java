package org.clementineford.requests.admission;

/**
 * Attempt as described by a dispatch.
 *
 * @param attemptId identity of the attempt
 * @param clientAccount account of the caller
 * @param idempotencyKey idempotency key from the caller, or null
 * @param idempotent true if running the request again has no further effect
 * @param targetIncarnation incarnation of the endpoint that the dispatch is addressed to
 * @param admissionTick latest reading of the endpoint's monotonic clock that the sender had
 *     received, in milliseconds
 */
public record Attempt(
    String attemptId,
    String clientAccount,
    String idempotencyKey,
    boolean idempotent,
    long targetIncarnation,
    long admissionTick) {

  /** Key together with its account, since two accounts may use one key for different requests. */
  record ScopedKey(String clientAccount, String idempotencyKey) {}

  ScopedKey scopedKey() {
    return idempotencyKey == null ? null : new ScopedKey(clientAccount, idempotencyKey);
  }
}
