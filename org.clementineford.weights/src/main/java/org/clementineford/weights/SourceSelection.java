package org.clementineford.weights;

import java.util.BitSet;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Chooses the chunk to fetch next and its source: the rarest chunk in the data centre first, from
 * the nearest peer with the fewest outstanding fetches.
 */
final class SourceSelection {
  /** Number of concurrent fetches by all VMs of a region that fills its links to other regions. */
  private static final int REGION_IMPORTS = 16;

  private final SwarmView swarm;
  private final TransferLimits limits;
  private final SplittableRandom random;

  SourceSelection(SwarmView swarm, TransferLimits limits, long seed) {
    this.swarm = swarm;
    this.limits = limits;
    this.random = new SplittableRandom(seed);
  }

  /**
   * Chooses the rarest chunk that a peer can send.
   *
   * @param wanted chunks to choose from
   * @param accepted accepts the peers that may be asked
   * @param now monotonic time in nanoseconds
   * @return the chunk and the peer, or empty if no accepted peer can send a wanted chunk now
   */
  Optional<Choice> choose(BitSet wanted, Predicate<SwarmPeer> accepted, long now) {
    int bestCopies = Integer.MAX_VALUE;
    int ties = 0;
    SwarmPeer bestPeer = null;
    int bestChunk = -1;
    for (int chunk = wanted.nextSetBit(0); chunk >= 0; chunk = wanted.nextSetBit(chunk + 1)) {
      int copies = swarm.copiesInDataCentre(chunk);
      if (copies > bestCopies) {
        continue;
      }
      SwarmPeer peer = sender(chunk, accepted, now);
      if (peer == null) {
        continue;
      }
      ties = copies < bestCopies ? 1 : ties + 1;
      // Picks equally rare chunks with equal probability, so that VMs fetch different ones.
      if (copies < bestCopies || random.nextInt(ties) == 0) {
        bestCopies = copies;
        bestChunk = chunk;
        bestPeer = peer;
      }
    }
    return bestPeer == null ? Optional.empty() : Optional.of(new Choice(bestChunk, bestPeer));
  }

  /**
   * Returns how many fetches from other regions may be outstanding. If few VMs share the links
   * between regions, each VM needs more fetches to fill them.
   */
  int importFetches() {
    int vms = 1 + swarm.count(true);
    return Math.max(limits.importFetches(), (REGION_IMPORTS + vms - 1) / vms);
  }

  /**
   * Returns how many fetches may be outstanding at a peer. Spreading fetches over peers keeps the
   * senders' queues short: 40 VMs used 85% of their links with two fetches per peer, 95% with one.
   */
  private int limit(SwarmPeer peer) {
    boolean local = peer.kind().isInRegion();
    int fetches = local ? limits.localFetches() : importFetches();
    int peers = Math.max(1, swarm.count(local));
    return Math.min(limits.fetchesPerPeer(), (fetches + peers - 1) / peers);
  }

  private SwarmPeer sender(int chunk, Predicate<SwarmPeer> accepted, long now) {
    SwarmPeer best = null;
    SwarmPeer lastResort = null;
    boolean otherHolder = false;
    int ties = 0;
    for (SwarmPeer peer : swarm.peers()) {
      if (!peer.map().holds(chunk) || !accepted.test(peer)) {
        continue;
      }
      if (peer.isUsable(now, limit(peer))) {
        int order = best == null ? -1 : compare(peer, best);
        ties = order < 0 ? 1 : order == 0 ? ties + 1 : ties;
        if (order < 0 || order == 0 && random.nextInt(ties) == 0) {
          best = peer;
        }
      } else if (peer.isLastResort(now)) {
        lastResort = peer;
      } else {
        otherHolder |= !peer.isAvoided(now);
      }
    }
    return best != null || otherHolder ? best : lastResort;
  }

  private static int compare(SwarmPeer a, SwarmPeer b) {
    int byKind = a.kind().compareTo(b.kind());
    return byKind != 0 ? byKind : Integer.compare(a.outstanding(), b.outstanding());
  }

  /**
   * Chunk to fetch and the peer to fetch it from.
   *
   * @param chunk number of the chunk
   * @param peer the peer
   */
  record Choice(int chunk, SwarmPeer peer) {}
}
