package org.clementineford.requests.attempts;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the memory of requests in flight. Half of it is split among the client accounts by weight
 * and always there for them; the other half is lent to whoever asks first.
 */
public final class InFlightLimit {
  private final long capacityBytes;
  private final Map<String, Long> used = new HashMap<>();
  private long borrowed;

  /**
   * Creates a limit.
   *
   * @param capacityBytes memory for requests in flight
   */
  public InFlightLimit(long capacityBytes) {
    this.capacityBytes = capacityBytes;
  }

  /**
   * Reserves memory.
   *
   * @param account name of the client account
   * @param bytes memory that the request needs
   * @param weight weight of the account
   * @param totalWeight weights of all accounts together
   * @return the reservation, or null if neither the account's share nor the common half has room
   */
  public synchronized Reservation reserve(
      String account, long bytes, int weight, long totalWeight) {
    long own = used.getOrDefault(account, 0L);
    long share = capacityBytes / 2 * weight / Math.max(1, totalWeight);
    long fromShare = Math.min(bytes, Math.max(0, share - own));
    long fromCommon = bytes - fromShare;
    if (borrowed + fromCommon > capacityBytes / 2) {
      return null;
    }
    borrowed += fromCommon;
    used.merge(account, fromShare, Long::sum);
    return new Reservation(account, fromShare, fromCommon);
  }

  /**
   * Returns a reservation.
   *
   * @param reservation made by {@link #reserve}
   */
  public synchronized void release(Reservation reservation) {
    borrowed -= reservation.fromCommon();
    used.merge(reservation.account(), -reservation.fromShare(), Long::sum);
    used.remove(reservation.account(), 0L);
  }

  /**
   * Memory that one request holds.
   *
   * @param account name of the client account
   * @param fromShare bytes taken from the account's share
   * @param fromCommon bytes taken from the common half
   */
  public record Reservation(String account, long fromShare, long fromCommon) {}
}
