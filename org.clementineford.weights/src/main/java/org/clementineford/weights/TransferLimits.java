package org.clementineford.weights;

import java.util.concurrent.TimeUnit;

/**
 * Limits of the transfers of one VM.
 *
 * @param localFetches outstanding fetches from peers of the same region
 * @param importFetches outstanding fetches from peers of other regions; more in small regions
 * @param originFetches outstanding reads of the origin
 * @param fetchesPerPeer outstanding fetches from one peer if there are few peers; with many peers
 *     fetches are spread over as many as possible
 * @param uploadSlots chunks that are sent to peers of the region at a time
 * @param exportSlots further chunks that are sent to peers of other regions at a time; a chunk that
 *     crosses late delays the whole region, so it does not wait for the peers nearby
 * @param neighbours peers of the region that get each chunk map
 * @param announceNanos time between chunk maps while chunks arrive
 * @param progressNanos a fetch that receives no byte for this long is given up
 * @param penaltyNanos how long a sender of corrupted chunks, or a silent one, is avoided
 * @param regionLinkBytesPerSecond bandwidth of a link between two regions, of which transfers use
 *     the share that the document allows; 0 if it is not known, which sets no limit
 * @param rankNanos how long each next rank waits before it reads in place of a VM before it
 */
public record TransferLimits(
    int localFetches,
    int importFetches,
    int originFetches,
    int fetchesPerPeer,
    int uploadSlots,
    int exportSlots,
    int neighbours,
    long announceNanos,
    long progressNanos,
    long penaltyNanos,
    long regionLinkBytesPerSecond,
    long rankNanos) {
  /** Limits of the product. */
  public static final TransferLimits DEFAULT =
      new TransferLimits(
          12,
          4,
          2,
          4,
          4,
          4,
          24,
          TimeUnit.MILLISECONDS.toNanos(50),
          TimeUnit.SECONDS.toNanos(1),
          TimeUnit.SECONDS.toNanos(30),
          0,
          TimeUnit.SECONDS.toNanos(1));

  /**
   * Returns these limits with values that depend on the machines and links.
   *
   * @param slots chunks that are sent to peers of the region at a time
   * @param linkBytesPerSecond bandwidth of a link between two regions; 0 if it is not known
   * @return the changed limits
   */
  public TransferLimits with(int slots, long linkBytesPerSecond) {
    return new TransferLimits(
        localFetches,
        importFetches,
        originFetches,
        fetchesPerPeer,
        slots,
        exportSlots,
        neighbours,
        announceNanos,
        progressNanos,
        penaltyNanos,
        linkBytesPerSecond,
        rankNanos);
  }
}
