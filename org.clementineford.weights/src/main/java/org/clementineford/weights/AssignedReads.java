package org.clementineford.weights;

import java.util.BitSet;
import java.util.List;
import java.util.Set;
import org.clementineford.kernel.DistributionPolicy;
import org.clementineford.kernel.VmIdentity;

/**
 * Chunks that this VM reads from outside its region, and when it may read chunks that are assigned
 * to other VMs.
 *
 * <p>A VM takes over reads from others only after its own reads are complete and no new chunk has
 * arrived in the region for a while. With a deadline from the start of the transfer instead, the
 * VMs of a slow transfer would read chunks twice.
 */
final class AssignedReads {
  private static final int NEVER = Integer.MAX_VALUE;

  private final VmIdentity self;
  private final String manifestAddress;
  private final DistributionPolicy policy;
  private final int chunks;
  private final long rankNanos;
  private final BitSet ownImports;
  private final BitSet ownOriginReads;
  private final BitSet permitted;
  private final int[] importRanks;
  private final int[] originRanks;
  private OriginAssignment assignment;
  private boolean originReadsLeft;
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
    this.ownImports = new BitSet(chunks);
    this.ownOriginReads = new BitSet(chunks);
    this.permitted = new BitSet(chunks);
    this.importRanks = new int[chunks];
    this.originRanks = new int[chunks];
    setMembers(List.of(), Set.of());
  }

  void setMembers(List<VmIdentity> known, Set<String> lost) {
    assignment = new OriginAssignment(manifestAddress, chunks, self, known, lost);
    boolean severalCopies = policy.originCopies(assignment.dataCentres()) > 1;
    for (int chunk = 0; chunk < chunks; chunk++) {
      ownImports.set(chunk, assignment.isImporter(chunk));
      ownOriginReads.set(chunk, assignment.isOriginReader(chunk));
      importRanks[chunk] = assignment.rank(chunk, true);
      boolean reads = !severalCopies || ownImports.get(chunk) || importRanks[chunk] == 0;
      originRanks[chunk] = reads ? assignment.rank(chunk, severalCopies) : NEVER;
    }
  }

  /** Allows this VM to read a chunk from the origin that is assigned to another VM. */
  void permit(int chunk) {
    permitted.set(chunk);
  }

  OriginAssignment assignment() {
    return assignment;
  }

  /** Updates which chunks are still missing in the region of this VM. */
  void update(BitSet missingInRegion, long now) {
    int missing = missingInRegion.cardinality();
    originReadsLeft = ownOriginReads.intersects(missingInRegion);
    boolean ownReadsLeft = originReadsLeft || ownImports.intersects(missingInRegion);
    if (ownReadsLeft || missing != lastMissing || idleSinceNanos == Long.MAX_VALUE) {
      idleSinceNanos = ownReadsLeft ? Long.MAX_VALUE : now;
    }
    lastMissing = missing;
  }

  boolean mayImport(int chunk, long now) {
    return ownImports.get(chunk) || hasWaited(now, importRanks[chunk]);
  }

  /** Returns whether to read a chunk from the origin that no known peer holds. */
  boolean mayReadOrigin(int chunk, long now) {
    if (ownOriginReads.get(chunk) || permitted.get(chunk)) {
      return true;
    }
    if (policy == DistributionPolicy.SHORTEST_TIME && ownImports.get(chunk) && !originReadsLeft) {
      return true;
    }
    return originRanks[chunk] != NEVER && hasWaited(now, originRanks[chunk]);
  }

  private boolean hasWaited(long now, int ranks) {
    return idleSinceNanos != Long.MAX_VALUE && now - idleSinceNanos >= (ranks + 1) * rankNanos;
  }
}
