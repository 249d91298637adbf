package org.clementineford.requests;

import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Reason why a request got no answer from a back end. The wire name is the value of {@code kind}.
 */
public enum RefusalKind {
  /** The endpoint is leaving and accepts no new work. */
  LEAVING(RunState.NOT_RUN, 503, true),
  /** The dispatch was addressed to another incarnation of the endpoint. */
  OTHER_INCARNATION(RunState.NOT_RUN, 503, true),
  /** The dispatch was delayed beyond the time for which revocations are guaranteed to be kept. */
  STALE_DISPATCH(RunState.NOT_RUN, 503, true),
  /** The attempt was revoked before it ran. */
  REVOKED(RunState.NOT_RUN, 409, false),
  /** The endpoint recently revoked an earlier attempt with the same idempotency key. */
  KEY_REVOKED(RunState.NOT_RUN, 503, true),
  /** Another attempt with the same idempotency key was seen; this attempt does not run. */
  KEY_SEEN(RunState.NOT_RUN, 409, false),
  /** The queue of the client account is full. */
  QUEUE_FULL(RunState.NOT_RUN, 429, true),
  /** The deadline passed before the request started to run. */
  DEADLINE_PASSED(RunState.NOT_RUN, 504, false),
  /** The endpoint has no back end with that name. */
  UNKNOWN_BACK_END(RunState.NOT_RUN, 503, true),
  /** The endpoint has activated no version of the model. */
  MODEL_NOT_SERVED(RunState.NOT_RUN, 503, true),
  /** The back end does not accept connections or was marked down. */
  BACK_END_DOWN(RunState.NOT_RUN, 503, true),
  /** The caller disconnected before the request started to run. */
  CANCELLED(RunState.NOT_RUN, 499, false),
  /** The back end closed the connection early or did not respond. */
  BACK_END_BROKEN(RunState.UNKNOWN, 502, true),
  /** The endpoint stopped while the request ran. */
  ENDPOINT_STOPPED(RunState.UNKNOWN, 502, true),
  /** The back end returned the identity of another request. */
  WRONG_REQUEST_ID(RunState.UNKNOWN, 502, true),
  /** The answer comes from weights that the endpoint did not activate. */
  MIXED_WEIGHTS(RunState.RAN, 502, true),
  /** The attempt ran, but its answer is no longer stored. */
  ANSWER_NOT_KEPT(RunState.RAN, 502, false),
  /** The endpoint cannot record more attempts, so it cannot rule out that the request ran. */
  REGISTRY_FULL(RunState.UNKNOWN, 503, true),
  /** No endpoint can accept the request. */
  NO_ENDPOINT(RunState.NOT_RUN, 503, false),
  /** The entry VM has reached its limit of requests in flight. */
  ENTRY_FULL(RunState.NOT_RUN, 429, false),
  /** The platform, which must record the claim, is unreachable. */
  PLATFORM_DOWN(RunState.NOT_RUN, 503, false),
  /** The idempotency key was already used for another request. */
  KEY_REUSED(RunState.NOT_RUN, 422, false),
  /** The connection to the endpoint was lost after the dispatch was written. */
  CONNECTION_LOST(RunState.UNKNOWN, 502, true),
  /** The outcome of an earlier attempt cannot be determined. */
  OUTCOME_UNKNOWN(RunState.UNKNOWN, 502, false);

  private static final Map<String, RefusalKind> BY_WIRE_NAME =
      Arrays.stream(values())
          .collect(Collectors.toUnmodifiableMap(RefusalKind::wireName, Function.identity()));

  private final RunState defaultRunState;
  private final int httpStatus;
  private final boolean otherEndpointMayAccept;

  RefusalKind(RunState defaultRunState, int httpStatus, boolean otherEndpointMayAccept) {
    this.defaultRunState = defaultRunState;
    this.httpStatus = httpStatus;
    this.otherEndpointMayAccept = otherEndpointMayAccept;
  }

  /**
   * Returns the name used in messages between processes.
   *
   * @return lower-case words joined by hyphens, for example {@code queue-full}
   */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Finds a kind by its wire name.
   *
   * @param wireName name as received
   * @return the kind, or empty if the name is unknown, for example sent by a newer peer
   */
  public static Optional<RefusalKind> fromWireName(String wireName) {
    return Optional.ofNullable(BY_WIRE_NAME.get(wireName));
  }

  /**
   * Returns the run state of a refusal that carries no more specific one.
   *
   * @return the run state
   */
  public RunState defaultRunState() {
    return defaultRunState;
  }

  /**
   * Returns the HTTP status of the response to the caller.
   *
   * @return an HTTP status from 400 to 599
   */
  public int httpStatus() {
    return httpStatus;
  }

  /**
   * Returns whether the request may be sent to another endpoint after this refusal.
   *
   * @param run run state given in the refusal
   * @param idempotent true if repeating the request has no further effect
   * @return true if no effect can be repeated and another endpoint may accept the request
   */
  public boolean mayRetryElsewhere(RunState run, boolean idempotent) {
    return otherEndpointMayAccept && run.allowsAnotherRun(idempotent);
  }
}
