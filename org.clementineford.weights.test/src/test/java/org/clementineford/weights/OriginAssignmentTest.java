package org.clementineford.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.clementineford.kernel.VmIdentity;

class OriginAssignmentTest {
  private static final int CHUNKS = 120;

  // Guards against chunks with no reader or several readers, and VMs that read too many chunks.
  @Property(tries = 30)
  void givesEachChunkToOneReaderAndEachVmItsShare(
      @ForAll @IntRange(min = 1, max = 40) int vms, @ForAll long salt) {
    List<VmIdentity> fleet = new ArrayList<>();
    for (int i = 0; i < vms; i++) {
      fleet.add(TestVms.vm("vm-" + i, "region-" + i % 3));
    }
    int[] readers = new int[CHUNKS];
    int[] importers = new int[CHUNKS];
    for (VmIdentity self : fleet) {
      OriginAssignment view =
          new OriginAssignment("manifest-" + salt, CHUNKS, self, fleet, Set.of());
      int reads = 0;
      for (int chunk = 0; chunk < CHUNKS; chunk++) {
        readers[chunk] += view.isOriginReader(chunk) ? 1 : 0;
        importers[chunk] += view.isImporter(chunk) ? 1 : 0;
        reads += view.isOriginReader(chunk) ? 1 : 0;
      }
      assertThat(reads).isLessThanOrEqualTo((CHUNKS + vms - 1) / vms);
    }
    assertThat(readers).containsOnly(1);
    assertThat(importers).containsOnly(Math.min(3, vms));
  }

  // Guards against repeated origin reads because the loss of one VM moves chunks of live VMs.
  @Property(tries = 30)
  void movesOnlyTheChunksOfLostVms(
      @ForAll @IntRange(min = 2, max = 40) int vms, @ForAll long salt) {
    List<VmIdentity> fleet = new ArrayList<>();
    for (int i = 0; i < vms; i++) {
      fleet.add(TestVms.vm("vm-" + i, "region-" + i % 3));
    }
    int[] readers = new int[CHUNKS];
    for (VmIdentity self : fleet.subList(1, vms)) {
      String address = "manifest-" + salt;
      OriginAssignment before = new OriginAssignment(address, CHUNKS, self, fleet, Set.of());
      OriginAssignment after = new OriginAssignment(address, CHUNKS, self, fleet, Set.of("vm-0"));
      for (int chunk = 0; chunk < CHUNKS; chunk++) {
        readers[chunk] += after.isOriginReader(chunk) ? 1 : 0;
        assertThat(!before.isOriginReader(chunk) || after.isOriginReader(chunk)).isTrue();
      }
    }
    assertThat(readers).containsOnly(1);
  }
}
