package org.clementineford.requests.claims;

import org.clementineford.requests.RunState;
import org.clementineford.requests.attempts.EntryRefusal;

/** Next action that the user of a {@link ClaimDecision} must perform. */
public sealed interface ClaimAction {
  /** Choose an endpoint, identify a new attempt and call {@link ClaimDecision#prepared}. */
  record Prepare() implements ClaimAction {}

  /**
   * Create the stored object of the claim.
   *
   * @param claim content of the object
   */
  record Create(Claim claim) implements ClaimAction {}

  /** Read the stored object of the claim. */
  record Read() implements ClaimAction {}

  /**
   * Replace the stored object of the claim, which moves the claim to another attempt.
   *
   * @param version current version of the object; the write must fail if the object has another
   * @param claim new content of the object
   */
  record Move(long version, Claim claim) implements ClaimAction {}

  /**
   * Ask the endpoint in the claim to report or revoke the attempt.
   *
   * @param claim the claim
   */
  record AskEndpoint(Claim claim) implements ClaimAction {}

  /**
   * Send the attempt to its endpoint.
   *
   * @param claim claim that names the attempt
   */
  record Dispatch(Claim claim) implements ClaimAction {}

  /**
   * Respond to the caller with the answer of the finished attempt.
   *
   * @param claim claim with the answer, which is null if it was not stored
   */
  record Replay(Claim claim) implements ClaimAction {}

  /**
   * Refuse the request.
   *
   * @param refusal reason of the refusal
   * @param run knowledge about whether the request was run
   */
  record Refuse(EntryRefusal refusal, RunState run) implements ClaimAction {}
}
