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
 * Which VM reads a chunk from the origin, and which one brings it into each region.
 *
 * <p>Each chunk goes to the VM that ranks first by rendezvous hash and has not its even share yet,
 * so all VMs with the same view agree without a message. Without the bound, the VM with the most
 * chunks had twice the mean and held up all others.
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
   * Creates the assignment for one view of the membership.
   *
   * @param manifestAddress content address of the manifest
   * @param chunks number of chunks
   * @param self this VM
   * @param known endpoint VMs of the transfer, with or without this one
   * @param lost names of those that are gone; only their chunks are given to others, since moving
   *     the chunks of the living would make both the old and the new reader read them
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
      readers[chunk] = first(members, chunk, share);
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
          Candidate[] firsts = new Candidate[chunks];
          int share = share(candidates.size());
          for (int chunk = 0; chunk < chunks; chunk++) {
            if (originReaders[chunk].vm.region().equals(region)) {
              firsts[chunk] = originReaders[chunk];
            } else {
              firsts[chunk] = first(candidates, chunk, share);
              firsts[chunk].load++;
            }
          }
          importers.put(region, firsts);
        });
  }

  private int share(int vms) {
    return (chunks + vms - 1) / vms;
  }

  private Candidate first(List<Candidate> candidates, int chunk, int share) {
    Candidate first = null;
    for (Candidate candidate : candidates) {
      if (candidate.load < share
          && (first == null || candidate.weight(key(chunk)) > first.weight(key(chunk)))) {
        first = candidate;
      }
    }
    // All have their share only if one region reads more from the origin than its part.
    return first == null ? candidates.get(0) : first;
  }

  private void replaceLost() {
    for (int chunk = 0; chunk < chunks; chunk++) {
      originReaders[chunk] = alive(originReaders[chunk], chunk);
      for (Candidate[] firsts : importers.values()) {
        firsts[chunk] = alive(firsts[chunk], chunk);
      }
    }
  }

  /** Returns a VM of the same region if the given one is lost, or any other if none is left. */
  private Candidate alive(Candidate assigned, int chunk) {
    if (!assigned.lost) {
      return assigned;
    }
    Comparator<Candidate> order =
        Comparator.comparing((Candidate other) -> isNear(assigned, other))
            .thenComparingLong(other -> other.weight(key(chunk)));
    return members.stream().filter(other -> !other.lost).max(order).orElse(self);
  }

  private static boolean isNear(Candidate a, Candidate b) {
    return a.vm.region().equals(b.vm.region());
  }

  /**
   * Tells whether this VM is the one that reads a chunk from the origin.
   *
   * @param chunk number of the chunk
   * @return true for one VM of all
   */
  public boolean isOriginReader(int chunk) {
    return originReaders[chunk] == self;
  }

  /**
   * Tells whether this VM is the one that brings a chunk into its region.
   *
   * @param chunk number of the chunk
   * @return true for one VM of the region
   */
  public boolean isImporter(int chunk) {
    return importers.get(self.vm.region())[chunk] == self;
  }

  /**
   * Returns this VM's rank for taking over a chunk.
   *
   * @param chunk number of the chunk
   * @param withinRegion true to rank among the VMs of the region, false among all
   * @return 0 for the first
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
   * Returns the VM of each other region that brings a chunk in.
   *
   * @param chunk number of the chunk
   * @return one VM for each region but this VM's
   */
  public List<VmIdentity> importers(int chunk) {
    List<VmIdentity> others = new ArrayList<>();
    importers.forEach(
        (region, firsts) -> {
          if (!region.equals(self.vm.region())) {
            others.add(firsts[chunk].vm);
          }
        });
    return others;
  }

  /**
   * Returns the number of data centres that take part.
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
