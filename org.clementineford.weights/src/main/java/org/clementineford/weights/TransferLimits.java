package org.clementineford.weights;

import java.util.concurrent.TimeUnit;

/**
 * Limits of the transfers of one VM.
 *
 * @param localFetches maximum outstanding fetches from peers of the same region
 * @param importFetches maximum outstanding fetches from peers of other regions; raised for small
 *     regions
 * @param originFetches maximum outstanding reads of the origin
 * @param fetchesPerPeer maximum outstanding fetches from one peer if there are few peers; with many
 *     peers, fetches are spread over as many as possible
 * @param uploadSlots maximum concurrent uploads to peers of the region
 * @param exportSlots maximum concurrent uploads to peers of other regions, in addition to {@code
 *     uploadSlots}; a chunk that arrives late in a region delays all of its VMs, so it does not
 *     wait for uploads within the region
 * @param neighbours number of peers of the region that get each chunk map
 * @param announceNanos interval between chunk maps while chunks arrive
 * @param progressTimeoutNanos time without a byte after which a fetch is abandoned; fetches from
 *     outside the region, or queued at a sender that sends other chunks, get a multiple of it
 * @param penaltyNanos how long a sender of corrupt chunks or a silent sender is avoided
 * @param regionLinkBytesPerSecond bandwidth of a link between two regions, of which transfers use
 *     the share that the document allows; 0 if it is not known, which sets no limit
 * @param takeoverDelayNanos delay per rank before a VM takes over a read that is assigned to
 *     another VM
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
    long progressTimeoutNanos,
    long penaltyNanos,
    long regionLinkBytesPerSecond,
    long takeoverDelayNanos) {
  /** Default limits. */
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
   * Returns a copy with values that depend on the VM and the links.
   *
   * @param slots maximum concurrent uploads to peers of the region
   * @param linkBytesPerSecond bandwidth of a link between two regions; 0 if it is not known
   * @return the copy
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
        progressTimeoutNanos,
        penaltyNanos,
        linkBytesPerSecond,
        takeoverDelayNanos);
  }
}
