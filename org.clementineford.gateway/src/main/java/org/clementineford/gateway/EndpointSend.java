package org.clementineford.gateway;

import java.util.Optional;

/**
 * What an entry VM adds to a request for one endpoint.
 *
 * @param remainingMs time after which the endpoint should stop, in milliseconds
 * @param endpointId identity that must answer
 * @param account client account of the caller; empty for none
 * @param resumeAfter event after which a stream continues; empty to leave the caller's
 */
public record EndpointSend(
    long remainingMs, String endpointId, Optional<String> account, Optional<String> resumeAfter) {}
