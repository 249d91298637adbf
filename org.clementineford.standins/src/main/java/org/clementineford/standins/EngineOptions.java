package org.clementineford.standins;

/**
 * Timing, capacity and checks of the engine stand-in.
 *
 * @param firstTokenMs time from the start of a request to its first token, in milliseconds
 * @param betweenTokensMs time between tokens, in milliseconds; 0 sends all tokens at once
 * @param tokens number of tokens in an answer if the request has no {@code max_tokens}
 * @param slots number of requests in the batch; further requests are queued
 * @param checksFencing true to refuse an order with a fencing number below the highest received
 * @param loadLagMs time between updates of the load report, in milliseconds; 0 for no lag
 */
public record EngineOptions(
    long firstTokenMs,
    long betweenTokensMs,
    int tokens,
    int slots,
    boolean checksFencing,
    long loadLagMs) {
  /** Answers without delay, checks fencing numbers and reports load without lag. */
  public static final EngineOptions IMMEDIATE = new EngineOptions(0, 0, 8, 64, true, 0);
}
