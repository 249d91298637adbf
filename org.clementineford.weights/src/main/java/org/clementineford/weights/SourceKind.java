package org.clementineford.weights;

import org.clementineford.kernel.VmIdentity;

/** Kinds of sources of a chunk, nearest first. */
public enum SourceKind {
  /** A peer in the same data centre. */
  PEER_IN_DATA_CENTRE,
  /** A peer in another data centre of the same region. */
  PEER_IN_REGION,
  /** A peer in another region. */
  PEER_ELSEWHERE,
  /** The weight store. */
  WEIGHT_STORE,
  /** The origin. */
  ORIGIN;

  /**
   * Classifies a peer.
   *
   * @param self this VM
   * @param peer the peer
   * @return the kind of the peer as a source for this VM
   */
  public static SourceKind of(VmIdentity self, VmIdentity peer) {
    if (self.dataCentre().equals(peer.dataCentre())) {
      return PEER_IN_DATA_CENTRE;
    }
    return self.region().equals(peer.region()) ? PEER_IN_REGION : PEER_ELSEWHERE;
  }

  /**
   * Returns whether the source is in the region of this VM.
   *
   * @return true for peers of the same region
   */
  public boolean isInRegion() {
    return this == PEER_IN_DATA_CENTRE || this == PEER_IN_REGION;
  }

  /**
   * Returns whether the source is a peer.
   *
   * @return false for the weight store and the origin
   */
  public boolean isPeer() {
    return this != WEIGHT_STORE && this != ORIGIN;
  }
}
