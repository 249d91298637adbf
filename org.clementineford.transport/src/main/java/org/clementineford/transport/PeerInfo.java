package org.clementineford.transport;

import org.clementineford.wire.VmIdentity;

/**
 * What is known about the process at the other end of a connection.
 *
 * @param identity identity that the peer stated, or null before its hello arrived
 * @param lastTick monotonic clock of the peer in its last heartbeat, in milliseconds; comparable
 *     only with other ticks of the same incarnation
 */
public record PeerInfo(VmIdentity identity, long lastTick) {}
