package org.clementineford.serving.model;

import org.clementineford.kernel.HostPort;

/**
 * An endpoint as the platform lists it.
 *
 * @param id identity; a restarted endpoint may keep it
 * @param incarnation start of the endpoint in Unix milliseconds; 0 if not stated
 * @param service service that it provides
 * @param address where it accepts requests
 * @param dataCentre its data centre
 * @param leaving true if it must get no new requests
 * @param weightVersion version of its weights when the entry was written; 0 for none
 */
public record Endpoint(
    String id,
    long incarnation,
    String service,
    HostPort address,
    String dataCentre,
    boolean leaving,
    long weightVersion) {}
