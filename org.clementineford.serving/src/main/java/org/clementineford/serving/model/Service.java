package org.clementineford.serving.model;

import java.util.Optional;
import org.clementineford.kernel.HostPort;

/**
 * A service that endpoints provide.
 *
 * @param name name of the service
 * @param maxConnections connections that one endpoint accepts from all callers together
 * @param engine profile of its engines; empty for a plain service
 * @param origin address of the origin of weights; empty if the service is none
 */
public record Service(
    String name, int maxConnections, Optional<EngineProfile> engine, Optional<HostPort> origin) {}
