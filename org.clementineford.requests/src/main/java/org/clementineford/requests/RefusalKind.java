package org.clementineford.requests;

import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Why a request got no answer of a back end. The wire name is the value of {@code kind}. */
public enum RefusalKind {
  /** The endpoint takes no new work. */
  LEAVING(RunState.NOT_RUN, 503, true),
  /** The dispatch was meant for another incarnation of the endpoint. */
  OTHER_INCARNATION(RunState.NOT_RUN, 503, true),
  /** The dispatch was delayed for longer than revocations are certain to be remembered. */
  STALE_DISPATCH(RunState.NOT_RUN, 503, true),
  /** The attempt was revoked before it ran. */
  REVOKED(RunState.NOT_RUN, 409, false),
  /** The endpoint revoked an earlier attempt with the same idempotency key a short time ago. */
  KEY_REVOKED(RunState.NOT_RUN, 503, true),
  /** Another attempt with the same idempotency key was seen; this attempt does not run. */
  KEY_SEEN(RunState.NOT_RUN, 409, false),
  /** The queue of the client account is full. */
  QUEUE_FULL(RunState.NOT_RUN, 429, true),
  /** The deadline passed before the request started to run. */
  DEADLINE_PASSED(RunState.NOT_RUN, 504, false),
  /** The endpoint has no back end of that name. */
  UNKNOWN_BACK_END(RunState.NOT_RUN, 503, true),
  /** The endpoint has activated no version of the model. */
  MODEL_NOT_SERVED(RunState.NOT_RUN, 503, true),
  /** The back end does not accept connections or was marked down. */
  BACK_END_DOWN(RunState.NOT_RUN, 503, true),
  /** The caller went away before the request started to run. */
  CANCELLED(RunState.NOT_RUN, 499, false),
  /** The back end broke off or stayed silent. */
  BACK_END_BROKEN(RunState.UNKNOWN, 502, true),
  /** The back end echoed the identity of another request. */
  WRONG_REQUEST_ID(RunState.UNKNOWN, 502, true),
  /** The answer comes from weights that the endpoint did not activate. */
  MIXED_WEIGHTS(RunState.RAN, 502, true),
  /** The attempt ran, but its answer is no longer stored. */
  ANSWER_NOT_KEPT(RunState.RAN, 502, false),
  /** The endpoint cannot remember more attempts, so it cannot promise that none ran. */
  REGISTRY_FULL(RunState.UNKNOWN, 503, true),
  /** No endpoint can take the request. */
  NO_ENDPOINT(RunState.NOT_RUN, 503, false),
  /** The entry VM holds as many requests as it may. */
  ENTRY_FULL(RunState.NOT_RUN, 429, false),
  /** The platform is needed for a claim and cannot be reached. */
  PLATFORM_DOWN(RunState.NOT_RUN, 503, false),
  /** The idempotency key was used with another request. */
  KEY_REUSED(RunState.NOT_RUN, 422, false),
  /** The connection to the endpoint was lost after the dispatch was written. */
  CONNECTION_LOST(RunState.UNKNOWN, 502, true),
  /** The outcome of an earlier attempt cannot be found out. */
  OUTCOME_UNKNOWN(RunState.UNKNOWN, 502, false);

  private static final Map<String, RefusalKind> BY_WIRE_NAME =
      Arrays.stream(values())
          .collect(Collectors.toUnmodifiableMap(RefusalKind::wireName, Function.identity()));

  private final RunState defaultRun;
  private final int httpStatus;
  private final boolean otherEndpointMayAccept;

  RefusalKind(RunState defaultRun, int httpStatus, boolean otherEndpointMayAccept) {
    this.defaultRun = defaultRun;
    this.httpStatus = httpStatus;
    this.otherEndpointMayAccept = otherEndpointMayAccept;
  }

  /**
   * Returns the name in messages between processes.
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
   * @return the kind, or empty if a newer peer sent one that is not known here
   */
  public static Optional<RefusalKind> fromWireName(String wireName) {
    return Optional.ofNullable(BY_WIRE_NAME.get(wireName));
  }

  /**
   * Returns the run state of a refusal that states nothing more exact.
   *
   * @return the run state
   */
  public RunState defaultRun() {
    return defaultRun;
  }

  /**
   * Returns the status of the response to the caller.
   *
   * @return an HTTP status from 400 to 599
   */
  public int httpStatus() {
    return httpStatus;
  }

  /**
   * Tells whether the request may be sent to another endpoint after this refusal.
   *
   * @param run run state that the refusal states
   * @param idempotent true if repeating the request has no further effect
   * @return true if no effect can be repeated and another endpoint may accept the request
   */
  public boolean mayRetryElsewhere(RunState run, boolean idempotent) {
    return otherEndpointMayAccept && run.allowsAnotherRun(idempotent);
  }
}
