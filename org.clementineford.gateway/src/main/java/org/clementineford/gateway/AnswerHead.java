package org.clementineford.gateway;

import java.util.Optional;

/**
 * Decoded head of an endpoint's response.
 *
 * @param status HTTP status
 * @param requestId ID of the request that the response belongs to; empty if the header is missing
 * @param proven true if the endpoint signed the response
 * @param notRun true if the response guarantees that the endpoint did not run the request
 * @param otherEndpoint true if the endpoint rejected the request as meant for another one
 * @param encoded true if the body has a content encoding, so that it differs from the body that the
 *     endpoint generated
 * @param load load of the endpoint; empty if the header is missing
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
   * Load of an endpoint, as its response reports it.
   *
   * @param running requests that run at the endpoint
   * @param waiting requests that wait at the endpoint
   */
  public record Load(int running, int waiting) {}
}
