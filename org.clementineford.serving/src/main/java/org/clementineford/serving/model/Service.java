package org.clementineford.serving.model;

import java.util.Optional;
import org.clementineford.kernel.HostPort;

/**
 * A service that endpoints provide.
 *
 * @param name name of the service
 * @param maxConnections number of connections that one endpoint accepts from all entry VMs
 *     together; 0 if not configured
 * @param engine profile of its engines; empty for a plain service, which has no engines
 * @param origin address of the origin, from which weights are read; empty if the service is not the
 *     origin
 */
public record Service(
    String name, int maxConnections, Optional<EngineProfile> engine, Optional<HostPort> origin) {}
