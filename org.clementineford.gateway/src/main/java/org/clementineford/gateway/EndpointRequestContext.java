package org.clementineford.gateway;

import java.util.Optional;

/**
 * Values that an entry VM sets in the headers of a request to one endpoint.
 *
 * @param remainingMs time until the caller's deadline, in milliseconds; the endpoint should stop
 *     working on the request after it
 * @param endpointId ID of the endpoint that must answer the request
 * @param account client account of the caller; empty for none
 * @param resumeAfter ID of the event after which a stream continues; empty to keep the value that
 *     the caller sent
 */
public record EndpointRequestContext(
    long remainingMs, String endpointId, Optional<String> account, Optional<String> resumeAfter) {}
