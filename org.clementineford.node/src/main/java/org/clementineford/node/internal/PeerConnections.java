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
 * What is remembered about the peers with which this process exchanged statements. Not thread-safe,
 * except for {@link #release}.
 */
final class PeerLinks {
  private static final int KEPT_DIGESTS = 64;

  private final PeerNetwork network;
  private final Map<HostPort, Long> digests = new HashMap<>();
  private List<HostPort> receivers = List.of();

  PeerLinks(PeerNetwork network) {
    this.network = network;
  }

  /** Remembers the digest of a peer's table. */
  void remember(HostPort peer, long digest) {
    if (digests.size() >= KEPT_DIGESTS) {
      digests.clear();
    }
    digests.put(peer, digest);
  }

  /** Tells whether a peer's table had the digest, so that it needs no statements. */
  boolean hadDigest(HostPort peer, long digest) {
    return Long.valueOf(digest).equals(digests.get(peer));
  }

  /** Sets to whom this process announces now, and returns who is no longer among them. */
  List<HostPort> replaceReceivers(List<HostPort> present) {
    List<HostPort> former = receivers.stream().filter(peer -> !present.contains(peer)).toList();
    receivers = present;
    return former;
  }

  /**
   * Tells whether a connection only costs heartbeats, for example one to a seed. An entry VM needs
   * its connections to endpoints for requests.
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
  void release(HostPort peer) {
    network.closeIfIdle(peer);
  }
}
