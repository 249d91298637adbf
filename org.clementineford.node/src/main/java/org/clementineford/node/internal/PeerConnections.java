package org.clementineford.node.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.clementineford.configuration.membership.MemberStatement;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmRole;
import org.clementineford.transport.PeerNetwork;

/**
 * Connections to the peers with which this process exchanges statements: the last digest of each
 * peer's table, and whether the connection is still needed. Not thread-safe, except for {@link
 * #closeIfIdle}.
 */
final class PeerConnections {
  private static final int MAX_DIGESTS = 64;

  private final PeerNetwork network;
  private final Map<HostPort, Long> digests = new HashMap<>();
  private List<HostPort> receivers = List.of();

  PeerConnections(PeerNetwork network) {
    this.network = network;
  }

  /** Records the digest of a peer's table. */
  void recordDigest(HostPort peer, long digest) {
    if (digests.size() >= MAX_DIGESTS) {
      digests.clear();
    }
    digests.put(peer, digest);
  }

  /** Returns whether a peer's table had the digest, so that the peer needs no statements. */
  boolean hadDigest(HostPort peer, long digest) {
    return Long.valueOf(digest).equals(digests.get(peer));
  }

  /** Sets the peers to which this process announces, and returns those that were removed. */
  List<HostPort> replaceReceivers(List<HostPort> present) {
    List<HostPort> former = receivers.stream().filter(peer -> !present.contains(peer)).toList();
    receivers = present;
    return former;
  }

  /**
   * Returns whether a connection only costs heartbeats, for example one to a seed. An entry VM
   * needs its connections to endpoints for requests.
   */
  boolean isUnneeded(HostPort peer, VmRole ownRole, Collection<MemberStatement> statements) {
    if (receivers.contains(peer)) {
      return false;
    }
    return ownRole != VmRole.ENTRY
        || statements.stream()
            .map(MemberStatement::identity)
            .noneMatch(member -> member.address().equals(peer) && member.role() == VmRole.ENDPOINT);
  }

  /** Closes a connection unless an exchange is open on it. */
  void closeIfIdle(HostPort peer) {
    network.closeIfIdle(peer);
  }
}
