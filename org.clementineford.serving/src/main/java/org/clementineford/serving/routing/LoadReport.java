package org.clementineford.serving.routing;

/**
 * Load of an endpoint at one moment.
 *
 * @param incarnation start of the endpoint in Unix milliseconds; 0 if not stated
 * @param number number of the report; 0 if it carries no weights
 * @param weightVersion version of weights that answers requests; 0 for none
 * @param changingVersion true while the endpoint prepares to load other weights
 * @param running requests that run
 * @param waiting requests that wait in the endpoint
 * @param pace above 1 if the engine is slower than its profile
 */
public record LoadReport(
    long incarnation,
    long number,
    long weightVersion,
    boolean changingVersion,
    int running,
    int waiting,
    double pace) {
  /** Stands for an endpoint that has reported nothing. */
  public static final LoadReport NONE = new LoadReport(0, 0, 0, false, 0, 0, 1.0);
}
