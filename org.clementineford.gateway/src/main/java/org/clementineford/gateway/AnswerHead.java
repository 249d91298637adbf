package org.clementineford.gateway;

import java.util.Optional;

/**
 * What the head of an endpoint's response states.
 *
 * @param status HTTP status
 * @param requestId request that it answers; empty if not stated
 * @param proven true if the endpoint signed the answer
 * @param notRun true if the endpoint states that it did not run the request
 * @param otherEndpoint true if the endpoint states that another one was meant
 * @param encoded true if the body is not in the form that the endpoint made it
 * @param load load of the endpoint, if stated
 */
public record AnswerHead(
    int status,
    Optional<String> requestId,
    boolean proven,
    boolean notRun,
    boolean otherEndpoint,
    boolean encoded,
    Optional<Load> load) {
  /**
   * Load that an answer states.
   *
   * @param running requests that run
   * @param waiting requests that wait in the endpoint
   */
  public record Load(int running, int waiting) {}
}
