package org.clementineford.replica.internal;

import java.util.Collection;
import java.util.TreeSet;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.weights.RendezvousHash;

/**
 * Place of an engine among those of its service that switch to a version one after the other. The
 * engines of each data centre are spread over the whole time, since callers use those near them.
 */
final class ActivationTurn {
  private ActivationTurn() {}

  /**
   * Returns the place of an engine. VMs with the same view of the peers agree without messages.
   *
   * @param self VM of the engine
   * @param peers VMs of the other engines
   * @param version name of the version
   * @return place from 0 inclusive to 1 exclusive
   */
  static double of(VmIdentity self, Collection<VmIdentity> peers, String version) {
    long seed = RendezvousHash.seed(version);
    long own = RendezvousHash.weight(RendezvousHash.seed(self.vm()), seed);
    TreeSet<String> dataCentres = new TreeSet<>();
    dataCentres.add(self.dataCentre());
    int rank = 0;
    int engines = 1;
    for (VmIdentity peer : peers) {
      dataCentres.add(peer.dataCentre());
      if (peer.dataCentre().equals(self.dataCentre())) {
        engines++;
        rank += RendezvousHash.weight(RendezvousHash.seed(peer.vm()), seed) > own ? 1 : 0;
      }
    }
    // Data centres with the same number of engines would otherwise switch in step.
    double offset = (double) dataCentres.headSet(self.dataCentre()).size() / dataCentres.size();
    return (rank + offset) / engines;
  }
}
