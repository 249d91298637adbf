package org.clementineford.serving.model;

import org.clementineford.kernel.HostPort;

/**
 * An endpoint as the platform's object API lists it.
 *
 * @param id ID; a restarted endpoint may keep it
 * @param incarnation start time of the endpoint in Unix milliseconds; 0 if not listed
 * @param service service that it provides
 * @param address address at which it accepts requests
 * @param dataCentre data centre of the endpoint
 * @param leaving true if it must not receive new requests
 * @param weightVersion version of its weights when its entry was written; 0 for none
 */
public record Endpoint(
    String id,
    long incarnation,
    String service,
    HostPort address,
    String dataCentre,
    boolean leaving,
    long weightVersion) {
  /**
   * Returns this endpoint as one that must not receive new requests.
   *
   * @return an endpoint that differs at most in that it is leaving
   */
  public Endpoint asLeaving() {
    return new Endpoint(id, incarnation, service, address, dataCentre, true, weightVersion);
  }
}
