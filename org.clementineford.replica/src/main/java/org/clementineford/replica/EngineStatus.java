package org.clementineford.replica;

/**
 * What the engine of this VM reports.
 *
 * @param incarnation start of the engine in Unix milliseconds; 0 if not stated
 * @param weightVersion version of the weights that answer requests; 0 for none
 * @param busy true while an order is carried out
 * @param running requests that run
 * @param waiting requests that wait
 * @param memoryUsed tokens of context in memory
 * @param memoryTotal tokens of context that fit into memory
 * @param pace above 1 if the engine is slower than its profile
 */
public record EngineStatus(
    long incarnation,
    long weightVersion,
    boolean busy,
    int running,
    int waiting,
    long memoryUsed,
    long memoryTotal,
    double pace) {
  /** Stands for an engine that does not answer. */
  public static final EngineStatus UNREACHABLE = new EngineStatus(0, 0, false, 0, 0, 0, 0, 1.0);
}
