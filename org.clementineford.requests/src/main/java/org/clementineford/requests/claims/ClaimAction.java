package org.clementineford.requests.claims;

import org.clementineford.requests.RunState;
import org.clementineford.requests.attempts.EntryRefusal;

/** What the owner of a {@link ClaimDecision} must do next. */
public sealed interface ClaimAction {
  /** Choose an endpoint, name a new attempt and call {@link ClaimDecision#prepared}. */
  record Prepare() implements ClaimAction {}

  /**
   * Create the object of the claim.
   *
   * @param claim value of the object
   */
  record Create(Claim claim) implements ClaimAction {}

  /** Read the object of the claim. */
  record Read() implements ClaimAction {}

  /**
   * Replace the object of the claim.
   *
   * @param version version that the object must still have
   * @param claim new value
   */
  record Move(long version, Claim claim) implements ClaimAction {}

  /**
   * Ask the endpoint that the claim names to report or revoke its attempt.
   *
   * @param claim the claim
   */
  record Ask(Claim claim) implements ClaimAction {}

  /**
   * Send the attempt to its endpoint.
   *
   * @param claim claim that names the attempt
   */
  record Dispatch(Claim claim) implements ClaimAction {}

  /**
   * Answer with the answer of the finished attempt.
   *
   * @param claim claim with the answer, which is null if it was not kept
   */
  record Replay(Claim claim) implements ClaimAction {}

  /**
   * Refuse the request.
   *
   * @param refusal the reason
   * @param run what is known about a run
   */
  record Refuse(EntryRefusal refusal, RunState run) implements ClaimAction {}
}
