package org.clementineford.transport;

/**
 * Timeouts and heartbeat interval of peer connections, in milliseconds.
 *
 * @param connectTimeoutMs maximum time to establish a connection
 * @param heartbeatIntervalMs time between heartbeats in each direction
 * @param heartbeatTimeoutMs time without received frames after which a connection is closed
 */
public record PeerTiming(int connectTimeoutMs, long heartbeatIntervalMs, long heartbeatTimeoutMs) {
  /** Production values: a heartbeat every second, and closing after 3 s without any frame. */
  public static final PeerTiming DEFAULT = new PeerTiming(1000, 1000, 3000);
}
