package org.clementineford.requests.admission;

/**
 * Limits of a fair queue.
 *
 * @param queuedPerAccount largest number of waiting requests of one account
 * @param borrowedTokens how far an account may run ahead of its share with urgent requests, in
 *     tokens
 */
public record FairQueueLimits(int queuedPerAccount, long borrowedTokens) {
  /**
   * 1000 waiting requests per account are several times the slots of an engine; 20,000 tokens are
   * about ten long requests.
   */
  public static final FairQueueLimits DEFAULT = new FairQueueLimits(1000, 20_000);
}
