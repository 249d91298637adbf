package org.clementineford.serving.routing;

/**
 * Load of an endpoint at the time of a report, and the version of its weights.
 *
 * @param incarnation start time of the endpoint in Unix milliseconds; 0 if not reported
 * @param number sequence number of the report; 0 if {@code weightVersion} was not reported
 * @param weightVersion version of the weights with which the endpoint answers requests; 0 for none
 * @param changingVersion true while the endpoint prepares to load other weights
 * @param running number of running requests
 * @param waiting number of requests that wait inside the endpoint
 * @param slowdown factor by which the engine is slower than its {@code EngineProfile}; 1 if it is
 *     as fast
 */
public record EndpointLoad(
    long incarnation,
    long number,
    long weightVersion,
    boolean changingVersion,
    int running,
    int waiting,
    double slowdown) {
  /** Value for an endpoint that has not sent a report. */
  public static final EndpointLoad NONE = new EndpointLoad(0, 0, 0, false, 0, 0, 1.0);
}
