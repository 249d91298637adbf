package org.clementineford.gateway;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Decoded head of an endpoint's response.
 *
 * @param status HTTP status
 * @param requestId ID of the request that the response belongs to; empty if the header is missing
 * @param signed true if the endpoint signed the response
 * @param notRun true if the response guarantees that the endpoint did not run the request
 * @param misdirected true if the endpoint rejected the request as meant for another one
 * @param contentEncoded true if the body has a content encoding, so that it differs from the body
 *     that the endpoint generated
 * @param leaving true if the endpoint says that it is leaving and must not get new requests
 * @param load load of the endpoint; empty if the header is missing
 * @param requestLimit requests per second, at least 0, that the endpoint accepts from all entry VMs
 *     together for as long as its responses say so; empty if it names no limit
 * @param pauseSeconds time for which the endpoint wants no request of this entry VM, in seconds;
 *     empty if it asks for no pause
 */
public record EndpointResponseHead(
    int status,
    Optional<String> requestId,
    boolean signed,
    boolean notRun,
    boolean misdirected,
    boolean contentEncoded,
    boolean leaving,
    Optional<Load> load,
    OptionalDouble requestLimit,
    OptionalDouble pauseSeconds) {
  /**
   * Load of an endpoint, as its response reports it.
   *
   * @param running requests that run at the endpoint
   * @param waiting requests that wait at the endpoint
   */
  public record Load(int running, int waiting) {}
}
