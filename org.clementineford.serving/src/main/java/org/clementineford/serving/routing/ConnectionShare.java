package org.clementineford.serving.routing;

/**
 * Limits the connections of an entry VM to one endpoint of a plain service. An endpoint resets
 * connections above its limit, and a request on such a connection ends with an unknown outcome. The
 * limit matters in bursts, and when callers retry at a service that is slower than they are.
 */
public final class ConnectionShare {
  /**
   * Fraction of the limit to use, since endpoints accept fewer connections while their queue grows.
   */
  private static final double USED_FRACTION = 0.8;

  private ConnectionShare() {}

  /**
   * Returns the number of connections that this entry VM may have to one endpoint.
   *
   * @param maxConnections connections that the endpoint accepts from all entry VMs; 0 if not
   *     configured
   * @param entryVms number of entry VMs that share these connections
   * @return number of connections, at least 1; {@link Integer#MAX_VALUE} for no limit
   */
  public static int connections(int maxConnections, int entryVms) {
    if (maxConnections <= 0) {
      return Integer.MAX_VALUE;
    }
    return Math.max(1, (int) (USED_FRACTION * maxConnections / entryVms));
  }
}
