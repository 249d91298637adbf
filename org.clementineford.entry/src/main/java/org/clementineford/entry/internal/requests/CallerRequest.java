package org.clementineford.entry.internal.requests;

import java.util.Map;
import org.clementineford.requests.routing.BackEnd;
import org.clementineford.wire.Dispatch;

/**
 * A request of a caller, checked.
 *
 * @param requestId identity given by this entry VM
 * @param account name of the client account
 * @param key idempotency key, or null
 * @param digest SHA-256 of method, target and body
 * @param idempotent true if it may run more than once
 * @param urgent true if it goes before others of its account
 * @param costTokens estimated cost
 * @param timeoutMs time until its deadline, in milliseconds
 * @param backEnd model with the version in force, or plain service
 * @param method HTTP method for the back end
 * @param path path with query for the back end
 * @param headers headers for the back end
 * @param body the body
 * @param stream true if the answer is a stream of events
 * @param prefixHash hash of the prompt prefix, or null
 */
record CallerRequest(
    String requestId,
    String account,
    String key,
    String digest,
    boolean idempotent,
    boolean urgent,
    long costTokens,
    long timeoutMs,
    BackEnd backEnd,
    String method,
    String path,
    Map<String, String> headers,
    byte[] body,
    boolean stream,
    String prefixHash) {

  /** Tells whether a claim must be made before it is dispatched. */
  boolean isClaimed() {
    return key != null && !idempotent;
  }

  Dispatch toDispatch(Target target, long remainingMs) {
    Dispatch dispatch =
        new Dispatch()
            .setRequestId(requestId)
            .setAttemptId(target.attemptId())
            .setClientAccount(account)
            .setIdempotencyKey(isClaimed() ? key : null)
            .setRequestDigest(digest)
            .setIdempotent(idempotent)
            .setUrgent(urgent)
            .setEstimatedCostTokens(costTokens)
            .setTimeoutMs(remainingMs)
            .setTargetIncarnation(target.incarnation())
            .setAdmissionTick(target.tick())
            .setBackEnd(target.candidate().backEndName())
            .setMethod(method)
            .setPath(path)
            .setHeaders(headers)
            .setBody(body)
            .setStream(stream)
            .setPrefixHash(prefixHash);
    if (backEnd.isModel()) {
      dispatch.setModel(backEnd.name());
    }
    return dispatch;
  }
}
