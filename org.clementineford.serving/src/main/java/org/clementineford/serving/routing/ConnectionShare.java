package org.clementineford.serving.routing;

/**
 * How many connections an entry VM keeps to one endpoint of a plain service. An endpoint resets
 * connections above its limit, and a request on such a connection ends with an unknown outcome.
 * Answers bursts and repeating callers at a service that is slower than they are.
 */
public final class ConnectionShare {
  /** Part of the limit that is used; endpoints accept fewer connections while their queue grows. */
  private static final double USED_PART = 0.8;

  private ConnectionShare() {}

  /**
   * Returns this entry VM's share.
   *
   * @param maxConnections connections that the endpoint accepts from all callers; 0 if not stated
   * @param entryVms entry VMs that share them
   * @return number of connections, at least one; {@link Integer#MAX_VALUE} for no limit
   */
  public static int connections(int maxConnections, int entryVms) {
    if (maxConnections <= 0) {
      return Integer.MAX_VALUE;
    }
    return Math.max(1, (int) (USED_PART * maxConnections / entryVms));
  }
}
