package org.clementineford.transport;

/**
 * Times of peer connections, in milliseconds.
 *
 * @param connectTimeoutMs longest time to establish a connection
 * @param heartbeatIntervalMs time between heartbeats in each direction
 * @param heartbeatDeadlineMs a connection on which nothing arrived for this long is closed
 */
public record PeerTiming(int connectTimeoutMs, long heartbeatIntervalMs, long heartbeatDeadlineMs) {
  /** Times of the product: heartbeats each second, closed after 3 s without one. */
  public static final PeerTiming DEFAULT = new PeerTiming(1000, 1000, 3000);
}
