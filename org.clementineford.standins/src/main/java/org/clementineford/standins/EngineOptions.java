package org.clementineford.standins;

/**
 * Behaviour of the engine stand-in.
 *
 * @param firstTokenMs time from the start of a request to its first token, in milliseconds
 * @param betweenTokensMs time between tokens, in milliseconds; 0 sends all tokens at once
 * @param tokens tokens of an answer whose request has no {@code max_tokens}
 * @param slots requests that fit into the batch; more wait
 * @param checksFencing true to refuse an order with a number below the highest seen
 * @param loadLagMs time between updates of the load report, in milliseconds; 0 for no lag
 */
public record EngineOptions(
    long firstTokenMs,
    long betweenTokensMs,
    int tokens,
    int slots,
    boolean checksFencing,
    long loadLagMs) {
  /** Answers at once, checks fencing numbers and reports load without lag. */
  public static final EngineOptions IMMEDIATE = new EngineOptions(0, 0, 8, 64, true, 0);
}
