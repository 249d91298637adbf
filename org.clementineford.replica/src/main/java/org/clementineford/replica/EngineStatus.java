package org.clementineford.replica;

/**
 * Status that the engine on this VM reports.
 *
 * @param incarnation start time of the engine in Unix milliseconds; 0 if not reported
 * @param weightVersion version of the loaded weights, which answer requests; 0 for none
 * @param busy true while the engine executes an order
 * @param running number of running requests
 * @param waiting number of queued requests
 * @param memoryUsed context tokens in memory
 * @param memoryTotal context tokens that fit into memory
 * @param leaving true if the engine says that it is leaving
 * @param pace slowdown relative to the engine's profile; above 1 if it is slower
 */
public record EngineStatus(
    long incarnation,
    long weightVersion,
    boolean busy,
    int running,
    int waiting,
    long memoryUsed,
    long memoryTotal,
    boolean leaving,
    double pace) {
  /** Status of an engine that does not answer. */
  public static final EngineStatus UNREACHABLE =
      new EngineStatus(0, 0, false, 0, 0, 0, 0, false, 1.0);
}
