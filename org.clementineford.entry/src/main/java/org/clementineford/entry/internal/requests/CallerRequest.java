package org.clementineford.entry.internal.requests;

import java.util.Map;
import org.clementineford.requests.routing.BackEndId;
import org.clementineford.wire.Dispatch;

/**
 * A validated client request.
 *
 * @param requestId ID assigned by this entry VM
 * @param account name of the client account
 * @param key idempotency key, or null
 * @param digest SHA-256 of method, target and body
 * @param idempotent true if it may run more than once
 * @param urgent true if it has priority over other requests of its account
 * @param costTokens estimated cost in tokens
 * @param timeoutMs time until the deadline, in milliseconds
 * @param backEnd model with the version in force, or a service
 * @param method HTTP method for the back end
 * @param path path for the back end, with the query
 * @param headers headers for the back end
 * @param body request body
 * @param stream true if the answer is an event stream
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
    BackEndId backEnd,
    String method,
    String path,
    Map<String, String> headers,
    byte[] body,
    boolean stream,
    String prefixHash) {

  /** Returns whether a claim must be written before the request is dispatched. */
  boolean requiresClaim() {
    return key != null && !idempotent;
  }

  Dispatch toDispatch(AttemptTarget target, long remainingMs) {
    Dispatch dispatch =
        new Dispatch()
            .setRequestId(requestId)
            .setAttemptId(target.attemptId())
            .setClientAccount(account)
            .setIdempotencyKey(requiresClaim() ? key : null)
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
