package org.clementineford.weights;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.clementineford.kernel.DistributionPolicy;
import org.clementineford.kernel.VmIdentity;

/**
 * Which VM reads a chunk from the origin, and which one brings it into a region.
 *
 * <p>Ranks come from a rendezvous hash of the chunk over the live VMs, so all VMs with the same
 * view agree without a message. A VM of rank 0 reads at once; the others wait for their rank.
 */
public final class OriginAssignment {
  private final long manifestSeed;
  private final DistributionPolicy policy;
  private final VmIdentity self;
  private final List<Candidate> members = new ArrayList<>();
  private final Map<String, Long> dataCentres = new TreeMap<>();

  /**
   * Creates the assignment for one view of the membership.
   *
   * @param manifestAddress content address of the manifest
   * @param policy what the distribution saves first
   * @param self this VM
   * @param live live endpoint VMs, with or without this one
   */
  public OriginAssignment(
      String manifestAddress, DistributionPolicy policy, VmIdentity self, List<VmIdentity> live) {
    this.manifestSeed = RendezvousHash.seed(manifestAddress);
    this.policy = policy;
    this.self = self;
    add(self);
    for (VmIdentity vm : live) {
      if (!vm.vm().equals(self.vm())) {
        add(vm);
      }
    }
  }

  private void add(VmIdentity vm) {
    members.add(new Candidate(vm, RendezvousHash.seed(vm.vm())));
    dataCentres.computeIfAbsent(vm.dataCentre(), RendezvousHash::seed);
  }

  /**
   * Returns this VM's rank among those of its region for bringing a chunk in.
   *
   * @param chunk number of the chunk
   * @return 0 for the VM that reads at once
   */
  public int importRank(int chunk) {
    return rank(chunk, candidate -> candidate.vm.region().equals(self.region()));
  }

  /**
   * Returns this VM's rank for reading a chunk from the origin.
   *
   * @param chunk number of the chunk
   * @return 0 for a VM that reads at once
   */
  public int originRank(int chunk) {
    if (policy.originCopies(dataCentres.size()) == 1) {
      return rank(chunk, candidate -> true);
    }
    return rank(chunk, candidate -> candidate.vm.dataCentre().equals(self.dataCentre()));
  }

  /**
   * Returns the position of this VM's data centre among those that read a chunk from the origin.
   * The first reads at once; the others only while no peer elsewhere holds the chunk.
   *
   * @param chunk number of the chunk
   * @return 0 for the first; {@link Integer#MAX_VALUE} if the data centre never reads the chunk
   */
  public int dataCentreOrder(int chunk) {
    int copies = policy.originCopies(dataCentres.size());
    if (copies == 1) {
      return 0;
    }
    long own = RendezvousHash.weight(dataCentres.get(self.dataCentre()), key(chunk));
    int order = 0;
    for (long seed : dataCentres.values()) {
      if (RendezvousHash.weight(seed, key(chunk)) > own) {
        order++;
      }
    }
    return order < copies ? order : Integer.MAX_VALUE;
  }

  /**
   * Returns the VM of each other region that brings a chunk in.
   *
   * @param chunk number of the chunk
   * @return the first rank of each region but this VM's
   */
  public List<VmIdentity> importers(int chunk) {
    Map<String, Candidate> first = new TreeMap<>();
    for (Candidate candidate : members) {
      if (!candidate.vm.region().equals(self.region())) {
        first.merge(
            candidate.vm.region(), candidate, (a, b) -> a.ranksBefore(b, key(chunk)) ? a : b);
      }
    }
    return first.values().stream().map(candidate -> candidate.vm).toList();
  }

  private int rank(int chunk, java.util.function.Predicate<Candidate> among) {
    Candidate own = members.get(0);
    long key = key(chunk);
    int rank = 0;
    for (Candidate candidate : members) {
      if (candidate != own && among.test(candidate) && candidate.ranksBefore(own, key)) {
        rank++;
      }
    }
    return rank;
  }

  private long key(int chunk) {
    return manifestSeed + chunk;
  }

  private record Candidate(VmIdentity vm, long seed) {
    boolean ranksBefore(Candidate other, long key) {
      long weight = RendezvousHash.weight(seed, key);
      long otherWeight = RendezvousHash.weight(other.seed, key);
      return weight != otherWeight ? weight > otherWeight : vm.vm().compareTo(other.vm.vm()) < 0;
    }
  }
}
