package org.clementineford.requests.admission;

/**
 * What a dispatch says about an attempt.
 *
 * @param attemptId identity of the attempt
 * @param clientAccount account of the caller
 * @param idempotencyKey key that the caller gave, or null
 * @param idempotent true if running it again has no further effect
 * @param targetIncarnation incarnation of the endpoint that is meant
 * @param admissionTick monotonic clock of the endpoint as the sender last received it, in
 *     milliseconds
 */
public record Attempt(
    String attemptId,
    String clientAccount,
    String idempotencyKey,
    boolean idempotent,
    long targetIncarnation,
    long admissionTick) {

  /** Scope of the key: two accounts may use the same key for different requests. */
  record ScopedKey(String clientAccount, String idempotencyKey) {}

  ScopedKey scopedKey() {
    return idempotencyKey == null ? null : new ScopedKey(clientAccount, idempotencyKey);
  }
}
