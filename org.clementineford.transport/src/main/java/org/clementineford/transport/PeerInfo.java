package org.clementineford.transport;

import org.clementineford.wire.VmIdentity;

/**
 * Information received from the process at the other end of a connection.
 *
 * @param identity identity sent by the peer, or null before its HELLO frame has arrived
 * @param lastTick reading of the peer's monotonic clock in its last heartbeat, in milliseconds, or
 *     0 before the first heartbeat; comparable only with other ticks of the same incarnation
 */
public record PeerInfo(VmIdentity identity, long lastTick) {}
