package org.clementineford.weights;

import java.util.BitSet;
import java.util.List;
import org.clementineford.kernel.DistributionPolicy;
import org.clementineford.kernel.VmIdentity;

/**
 * The chunks that this VM reads from outside its region, and when it may read those of others.
 *
 * <p>A VM takes over from lower ranks only after its own reads are done and no chunk has come into
 * the region for a while. A deadline from the start of the transfer would make the VMs of a slow
 * transfer read twice.
 */
final class AssignedReads {
  private static final int NEVER = -1;

  private final VmIdentity self;
  private final String manifestAddress;
  private final DistributionPolicy policy;
  private final int chunks;
  private final long rankNanos;
  private final BitSet importer;
  private final BitSet originReader;
  private final int[] importRanks;
  private final int[] originRanks;
  private OriginAssignment assignment;
  private int lastMissing = -1;
  private long idleSinceNanos = Long.MAX_VALUE;

  AssignedReads(
      VmIdentity self,
      String manifestAddress,
      DistributionPolicy policy,
      int chunks,
      long rankNanos) {
    this.self = self;
    this.manifestAddress = manifestAddress;
    this.policy = policy;
    this.chunks = chunks;
    this.rankNanos = rankNanos;
    this.importer = new BitSet(chunks);
    this.originReader = new BitSet(chunks);
    this.importRanks = new int[chunks];
    this.originRanks = new int[chunks];
    setMembers(List.of());
  }

  void setMembers(List<VmIdentity> live) {
    assignment = new OriginAssignment(manifestAddress, policy, self, live);
    importer.clear();
    originReader.clear();
    for (int chunk = 0; chunk < chunks; chunk++) {
      importRanks[chunk] = assignment.importRank(chunk);
      int order = assignment.dataCentreOrder(chunk);
      originRanks[chunk] =
          order == Integer.MAX_VALUE ? NEVER : assignment.originRank(chunk) + order;
      importer.set(chunk, importRanks[chunk] == 0);
      originReader.set(chunk, originRanks[chunk] == 0);
    }
  }

  OriginAssignment assignment() {
    return assignment;
  }

  /** Notes which chunks are still missing in the region of this VM. */
  void update(BitSet missingInRegion, long now) {
    int missing = missingInRegion.cardinality();
    boolean ownReadsLeft =
        importer.intersects(missingInRegion) || originReader.intersects(missingInRegion);
    if (ownReadsLeft || missing != lastMissing || idleSinceNanos == Long.MAX_VALUE) {
      idleSinceNanos = ownReadsLeft ? Long.MAX_VALUE : now;
    }
    lastMissing = missing;
  }

  boolean mayImport(int chunk, long now) {
    return hasWaited(now, importRanks[chunk]);
  }

  boolean mayReadOrigin(int chunk, long now) {
    return originRanks[chunk] != NEVER && hasWaited(now, originRanks[chunk]);
  }

  private boolean hasWaited(long now, int ranks) {
    return ranks == 0
        || idleSinceNanos != Long.MAX_VALUE && now - idleSinceNanos >= ranks * rankNanos;
  }
}
