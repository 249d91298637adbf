package org.clementineford.gateway;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What an entry VM adds to a request for one endpoint.
 *
 * @param remainingMs time after which the endpoint should stop, in milliseconds
 * @param endpointId identity that must answer
 * @param account client account of the caller; empty for none
 * @param requiredVersion version of weights that must answer; empty for any
 * @param resumeAfter event after which a stream continues; empty to leave the caller's
 */
public record EndpointSend(
    long remainingMs,
    String endpointId,
    Optional<String> account,
    OptionalLong requiredVersion,
    Optional<String> resumeAfter) {}
