package org.clementineford.requests.admission;

/**
 * State of an attempt in the registry, in reply to a request to report or revoke it.
 *
 * @param phase phase of the attempt
 * @param run the run if the phase is {@link Phase#RUNNING}, else null
 * @param answer the stored answer if the phase is {@link Phase#FINISHED}, else null
 * @param <R> type of runs
 * @param <A> type of answers
 */
public record AttemptReport<R, A>(Phase phase, R run, A answer) {

  /** Phase of an attempt. */
  public enum Phase {
    /** The attempt was not run and will not be run. */
    REVOKED,
    /** The attempt waits for a back end or is running. */
    RUNNING,
    /** The attempt ran and its answer is stored. */
    FINISHED,
    /** The registry cannot determine whether the attempt ran, or its answer is not stored. */
    FORGOTTEN
  }
}
