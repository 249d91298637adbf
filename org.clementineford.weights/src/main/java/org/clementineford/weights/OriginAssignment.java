package org.clementineford.weights;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.clementineford.kernel.VmIdentity;

/**
 * Assignment of each chunk to the VM that reads it from the origin and, in each region, to the VM
 * that imports it.
 *
 * <p>Each chunk is assigned to the highest-ranked VM by rendezvous hash that has less than its even
 * share of chunks, so VMs with the same view of the membership agree without exchanging messages.
 * Without this bound, the VM with the most chunks had twice the mean and delayed all others.
 *
 * <p>Source: V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent Hashing with Bounded Loads",
 * SODA 2018, applied to rendezvous hashing.
 */
public final class OriginAssignment {
  private final long manifestSeed;
  private final int chunks;
  private final List<Candidate> members = new ArrayList<>();
  private final Candidate self;
  private final Candidate[] originReaders;
  private final Map<String, Candidate[]> importers = new TreeMap<>();
  private final int dataCentres;

  /**
   * Creates the assignment for a given view of the membership.
   *
   * @param manifestAddress content address of the manifest
   * @param chunks number of chunks
   * @param self this VM
   * @param known endpoint VMs of the transfer; may or may not include this VM
   * @param lost names of the VMs that are dead; only their chunks are reassigned, since a chunk
   *     moved between live VMs would be read by both the old and the new reader
   */
  public OriginAssignment(
      String manifestAddress,
      int chunks,
      VmIdentity self,
      List<VmIdentity> known,
      Set<String> lost) {
    this.manifestSeed = RendezvousHash.seed(manifestAddress);
    this.chunks = chunks;
    this.self = new Candidate(self, RendezvousHash.seed(self.vm()), false);
    members.add(this.self);
    for (VmIdentity vm : known) {
      if (!vm.vm().equals(self.vm())) {
        members.add(new Candidate(vm, RendezvousHash.seed(vm.vm()), lost.contains(vm.vm())));
      }
    }
    members.sort(Comparator.comparing(candidate -> candidate.vm.vm()));
    TreeSet<String> centres = new TreeSet<>();
    members.stream()
        .filter(candidate -> !candidate.lost)
        .forEach(candidate -> centres.add(candidate.vm.dataCentre()));
    this.dataCentres = centres.size();
    this.originReaders = assignReaders();
    assignImporters();
    replaceLost();
  }

  private Candidate[] assignReaders() {
    Candidate[] readers = new Candidate[chunks];
    int share = share(members.size());
    for (int chunk = 0; chunk < chunks; chunk++) {
      readers[chunk] = highestRanked(members, chunk, share);
      readers[chunk].load++;
    }
    return readers;
  }

  private void assignImporters() {
    Map<String, List<Candidate>> regions = new TreeMap<>();
    for (Candidate candidate : members) {
      regions.computeIfAbsent(candidate.vm.region(), name -> new ArrayList<>()).add(candidate);
    }
    regions.forEach(
        (region, candidates) -> {
          Candidate[] regionImporters = new Candidate[chunks];
          int share = share(candidates.size());
          for (int chunk = 0; chunk < chunks; chunk++) {
            if (originReaders[chunk].vm.region().equals(region)) {
              regionImporters[chunk] = originReaders[chunk];
            } else {
              regionImporters[chunk] = highestRanked(candidates, chunk, share);
              regionImporters[chunk].load++;
            }
          }
          importers.put(region, regionImporters);
        });
  }

  private int share(int vms) {
    return (chunks + vms - 1) / vms;
  }

  private Candidate highestRanked(List<Candidate> candidates, int chunk, int share) {
    Candidate highest = null;
    for (Candidate candidate : candidates) {
      if (candidate.load < share
          && (highest == null || candidate.weight(key(chunk)) > highest.weight(key(chunk)))) {
        highest = candidate;
      }
    }
    // All VMs have their share only if one region reads more than its share from the origin.
    return highest == null ? candidates.get(0) : highest;
  }

  private void replaceLost() {
    for (int chunk = 0; chunk < chunks; chunk++) {
      originReaders[chunk] = liveReplacement(originReaders[chunk], chunk);
      for (Candidate[] regionImporters : importers.values()) {
        regionImporters[chunk] = liveReplacement(regionImporters[chunk], chunk);
      }
    }
  }

  /** Returns the given VM unless it is lost, else a live one, preferably of the same region. */
  private Candidate liveReplacement(Candidate assigned, int chunk) {
    if (!assigned.lost) {
      return assigned;
    }
    Comparator<Candidate> order =
        Comparator.comparing((Candidate other) -> isInSameRegion(assigned, other))
            .thenComparingLong(other -> other.weight(key(chunk)));
    return members.stream().filter(other -> !other.lost).max(order).orElse(self);
  }

  private static boolean isInSameRegion(Candidate a, Candidate b) {
    return a.vm.region().equals(b.vm.region());
  }

  /**
   * Returns whether this VM is assigned to read a chunk from the origin.
   *
   * @param chunk number of the chunk
   * @return true on exactly one of all VMs
   */
  public boolean isOriginReader(int chunk) {
    return originReaders[chunk] == self;
  }

  /**
   * Returns whether this VM is assigned to import a chunk into its region.
   *
   * @param chunk number of the chunk
   * @return true on exactly one VM of the region
   */
  public boolean isImporter(int chunk) {
    return importers.get(self.vm.region())[chunk] == self;
  }

  /**
   * Returns this VM's rank among the VMs that may take over the read of a chunk.
   *
   * @param chunk number of the chunk
   * @param withinRegion true to rank among the VMs of the region, false among all
   * @return the rank; 0 for the first VM to take over
   */
  public int rank(int chunk, boolean withinRegion) {
    long key = key(chunk);
    long own = self.weight(key);
    int rank = 0;
    for (Candidate candidate : members) {
      boolean counts = !withinRegion || candidate.vm.region().equals(self.vm.region());
      if (counts && !candidate.lost && candidate.weight(key) > own) {
        rank++;
      }
    }
    return rank;
  }

  /**
   * Returns the VMs that import a chunk into the other regions.
   *
   * @param chunk number of the chunk
   * @return one VM for each region except that of this VM
   */
  public List<VmIdentity> importers(int chunk) {
    List<VmIdentity> others = new ArrayList<>();
    importers.forEach(
        (region, regionImporters) -> {
          if (!region.equals(self.vm.region())) {
            others.add(regionImporters[chunk].vm);
          }
        });
    return others;
  }

  /**
   * Returns the number of data centres with VMs that are not lost.
   *
   * @return at least 1
   */
  public int dataCentres() {
    return dataCentres;
  }

  private long key(int chunk) {
    return manifestSeed + chunk;
  }

  private static final class Candidate {
    private final VmIdentity vm;
    private final long seed;
    private final boolean lost;
    private int load;

    Candidate(VmIdentity vm, long seed, boolean lost) {
      this.vm = vm;
      this.seed = seed;
      this.lost = lost;
    }

    long weight(long key) {
      return RendezvousHash.weight(seed, key);
    }
  }
}
