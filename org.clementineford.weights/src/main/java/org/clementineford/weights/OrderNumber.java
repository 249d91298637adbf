package org.clementineford.weights;

/**
 * Fencing number of an order, compared by document revision first and by lease number second.
 *
 * @param documentRevision revision of the document that the order is based on
 * @param leaseNumber fencing number of the sender's lease; 0 for a VM that acts without an order
 */
public record OrderNumber(long documentRevision, long leaseNumber)
    implements Comparable<OrderNumber> {
  /** Number that is lower than that of any order. */
  public static final OrderNumber NONE = new OrderNumber(0, 0);

  private static final int LEASE_BITS = 24;
  private static final long MAX_LEASE = (1L << LEASE_BITS) - 1;

  @Override
  public int compareTo(OrderNumber other) {
    int byRevision = Long.compare(documentRevision, other.documentRevision);
    return byRevision != 0 ? byRevision : Long.compare(leaseNumber, other.leaseNumber);
  }

  /**
   * Combines both numbers into one for engines, which compare a single number.
   *
   * @return number that increases with the revision and, within a revision, with the lease number;
   *     a lease changes its holder at most once in ten seconds, so 24 bits last for five years
   */
  public long combined() {
    return documentRevision << LEASE_BITS | Math.min(leaseNumber, MAX_LEASE);
  }
}
