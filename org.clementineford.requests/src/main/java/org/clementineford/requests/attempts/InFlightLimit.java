package org.clementineford.requests.attempts;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the memory of requests in flight. One half is reserved for the client accounts in
 * proportion to their weights; the other half is common and allocated first come, first served.
 */
public final class InFlightLimit {
  private final long capacityBytes;
  private final Map<String, Long> usedFromShare = new HashMap<>();
  private long usedFromCommon;

  /**
   * Creates a limit.
   *
   * @param capacityBytes memory for requests in flight, in bytes
   */
  public InFlightLimit(long capacityBytes) {
    this.capacityBytes = capacityBytes;
  }

  /**
   * Reserves memory.
   *
   * @param account name of the client account
   * @param bytes memory that the request needs, in bytes
   * @param weight weight of the account
   * @param totalWeight sum of the weights of all accounts
   * @return the reservation, or null if the rest of the account's share and of the common half do
   *     not suffice
   */
  public synchronized Reservation reserve(
      String account, long bytes, int weight, long totalWeight) {
    long usedByAccount = usedFromShare.getOrDefault(account, 0L);
    long share = capacityBytes / 2 * weight / Math.max(1, totalWeight);
    long fromShare = Math.min(bytes, Math.max(0, share - usedByAccount));
    long fromCommon = bytes - fromShare;
    if (usedFromCommon + fromCommon > capacityBytes / 2) {
      return null;
    }
    usedFromCommon += fromCommon;
    usedFromShare.merge(account, fromShare, Long::sum);
    return new Reservation(account, fromShare, fromCommon);
  }

  /**
   * Releases a reservation.
   *
   * @param reservation reservation returned by {@link #reserve}
   */
  public synchronized void release(Reservation reservation) {
    usedFromCommon -= reservation.fromCommon();
    usedFromShare.merge(reservation.account(), -reservation.fromShare(), Long::sum);
    usedFromShare.remove(reservation.account(), 0L);
  }

  /**
   * Memory reserved for one request.
   *
   * @param account name of the client account
   * @param fromShare bytes taken from the account's share
   * @param fromCommon bytes taken from the common half
   */
  public record Reservation(String account, long fromShare, long fromCommon) {}
}
