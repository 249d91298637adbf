package org.clementineford.weights;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.clementineford.kernel.VmIdentity;

/** Chunks of one manifest that each peer holds, with the number of copies by distance. */
final class SwarmView {
  private final VmIdentity self;
  private final int chunks;
  private final Map<String, SwarmPeer> peers = new HashMap<>();
  private final List<SwarmPeer> ordered = new ArrayList<>();
  private final int[] dataCentreCopies;
  private final int[] regionCopies;
  private final int[] elsewhereCopies;
  private int localPeers;

  SwarmView(VmIdentity self, int chunks) {
    this.self = self;
    this.chunks = chunks;
    this.dataCentreCopies = new int[chunks];
    this.regionCopies = new int[chunks];
    this.elsewhereCopies = new int[chunks];
  }

  void setMembers(Collection<VmIdentity> members) {
    Set<String> names = new HashSet<>();
    for (VmIdentity member : members) {
      if (!member.vm().equals(self.vm())) {
        names.add(member.vm());
        SwarmPeer known = peers.get(member.vm());
        if (known != null && !known.identity().equals(member)) {
          remove(member.vm());
        }
        peer(member);
      }
    }
    for (String vm : List.copyOf(peers.keySet())) {
      if (!names.contains(vm)) {
        remove(vm);
      }
    }
  }

  void setMap(VmIdentity sender, ChunkBitmap map) {
    SwarmPeer known = peers.get(sender.vm());
    if (known != null && known.identity().incarnation() < sender.incarnation()) {
      remove(sender.vm());
    }
    SwarmPeer peer = peer(sender);
    if (peer.identity().incarnation() > sender.incarnation()) {
      return;
    }
    replaceMap(peer, map);
  }

  void forgivePeers() {
    peers.values().forEach(SwarmPeer::forgive);
  }

  /** Clears the chunks of a peer until its next chunk map. */
  void forgetMap(SwarmPeer peer) {
    replaceMap(peer, new ChunkBitmap(chunks));
  }

  private void replaceMap(SwarmPeer peer, ChunkBitmap map) {
    int[] copies = copies(peer);
    BitSet changed = peer.map().difference(map);
    for (int chunk = changed.nextSetBit(0); chunk >= 0; chunk = changed.nextSetBit(chunk + 1)) {
      copies[chunk] += map.holds(chunk) ? 1 : -1;
    }
    peer.setMap(map);
  }

  private int[] copies(SwarmPeer peer) {
    return switch (peer.kind()) {
      case PEER_IN_DATA_CENTRE -> dataCentreCopies;
      case PEER_IN_REGION -> regionCopies;
      default -> elsewhereCopies;
    };
  }

  private SwarmPeer peer(VmIdentity identity) {
    SwarmPeer known = peers.get(identity.vm());
    if (known == null) {
      known = new SwarmPeer(identity, SourceKind.of(self, identity), chunks);
      peers.put(identity.vm(), known);
      ordered.add(known);
      localPeers += known.kind().isInRegion() ? 1 : 0;
    }
    return known;
  }

  private void remove(String vm) {
    SwarmPeer removed = peers.remove(vm);
    if (removed != null) {
      forgetMap(removed);
      ordered.remove(removed);
      localPeers -= removed.kind().isInRegion() ? 1 : 0;
    }
  }

  SwarmPeer find(VmIdentity identity) {
    return peers.get(identity.vm());
  }

  /** Returns the number of peers in the region of this VM, or in other regions. */
  int count(boolean local) {
    return local ? localPeers : ordered.size() - localPeers;
  }

  List<SwarmPeer> peers() {
    return ordered;
  }

  int copiesInDataCentre(int chunk) {
    return dataCentreCopies[chunk];
  }

  int copiesInRegion(int chunk) {
    return dataCentreCopies[chunk] + regionCopies[chunk];
  }

  int copiesElsewhere(int chunk) {
    return elsewhereCopies[chunk];
  }
}
