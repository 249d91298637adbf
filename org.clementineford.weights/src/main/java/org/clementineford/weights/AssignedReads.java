package org.clementineford.weights;

import java.util.BitSet;
import java.util.List;
import org.clementineford.kernel.DistributionPolicy;
import org.clementineford.kernel.VmIdentity;

/**
 * The chunks that this VM reads from outside its region, and when it may read those of others.
 *
 * <p>A VM reads the chunks of other ranks only after its own are done. All VMs share the link
 * evenly, so a VM whose own reads are done expects the others to be done as well; a fixed deadline
 * from the start of the transfer would make every VM of a slow transfer read twice.
 */
final class AssignedReads {
  private final VmIdentity self;
  private final String manifestAddress;
  private final DistributionPolicy policy;
  private final int chunks;
  private final long rankNanos;
  private final BitSet importer;
  private final BitSet originReader;
  private OriginAssignment assignment;
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
    setMembers(List.of());
  }

  void setMembers(List<VmIdentity> live) {
    assignment = new OriginAssignment(manifestAddress, policy, self, live);
    importer.clear();
    originReader.clear();
    for (int chunk = 0; chunk < chunks; chunk++) {
      importer.set(chunk, assignment.importRank(chunk) == 0);
      originReader.set(
          chunk, assignment.originRank(chunk) == 0 && assignment.dataCentreOrder(chunk) == 0);
    }
  }

  OriginAssignment assignment() {
    return assignment;
  }

  /** Notes whether chunks assigned to this VM are still missing in its region. */
  void update(BitSet missingInRegion, long now) {
    if (importer.intersects(missingInRegion) || originReader.intersects(missingInRegion)) {
      idleSinceNanos = Long.MAX_VALUE;
    } else if (idleSinceNanos == Long.MAX_VALUE) {
      idleSinceNanos = now;
    }
  }

  boolean mayImport(int chunk, long now) {
    return importer.get(chunk) || hasWaited(now, assignment.importRank(chunk));
  }

  boolean mayReadOrigin(int chunk, long now) {
    if (originReader.get(chunk)) {
      return true;
    }
    int order = assignment.dataCentreOrder(chunk);
    if (order == Integer.MAX_VALUE || idleSinceNanos == Long.MAX_VALUE) {
      return false;
    }
    return hasWaited(now, assignment.originRank(chunk) + order);
  }

  private boolean hasWaited(long now, int ranks) {
    return idleSinceNanos != Long.MAX_VALUE && now - idleSinceNanos >= ranks * rankNanos;
  }
}
