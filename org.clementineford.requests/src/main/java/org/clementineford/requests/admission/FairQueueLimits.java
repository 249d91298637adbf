package org.clementineford.requests.admission;

/**
 * Limits of a fair queue.
 *
 * @param queuedPerAccount largest number of waiting requests of one account
 * @param borrowedTokens how far an account may run ahead of its share with urgent requests, in
 *     tokens
 * @param savedTokens how much of its share an account can save up while it offers less, in tokens
 */
public record FairQueueLimits(int queuedPerAccount, long borrowedTokens, long savedTokens) {
  /**
   * 1000 waiting requests per account are several times the slots of an engine; 20,000 tokens are
   * about ten long requests. In a simulation with 16 slots, the 99th percentile with 4,800 saved
   * tokens was 1.6 times that with 20,000, and 40,000 brought no gain.
   */
  public static final FairQueueLimits DEFAULT = new FairQueueLimits(1000, 20_000, 20_000);
}
