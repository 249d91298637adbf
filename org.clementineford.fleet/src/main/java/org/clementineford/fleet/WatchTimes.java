package org.clementineford.fleet;

/**
 * Times after which observers confirm their copies again. They follow from the limits of the
 * deployment, since each call to the platform is billed.
 *
 * @param configurationMs time between two confirmations of the configuration, in milliseconds
 * @param configurationPauseMs pause between a change of the configuration and the next watch, in
 *     milliseconds, so that one call returns several changes: observers of all data centres fetch
 *     the whole document over the links to the platform's region
 * @param endpointsMs time between two confirmations of the endpoints, in milliseconds
 * @param endpointsPauseMs pause between a change of the endpoints and the next watch, in
 *     milliseconds, so that one call returns several changes: engines write their entries often
 *     while they load
 */
public record WatchTimes(
    long configurationMs, long configurationPauseMs, long endpointsMs, long endpointsPauseMs) {
  /**
   * Part of the time to apply a configuration in which an observer that lost the platform is
   * noticed; the rest is left to its followers to read the configuration themselves.
   */
  private static final double APPLY_PART = 0.5;

  /**
   * Time in which a removed key is refused that the age of a copy takes besides the wait, in
   * milliseconds: withheld changes, two hops between VMs, one lost call to a peer, and the start of
   * the request at an endpoint.
   */
  private static final long KEY_OVERHEAD_MS = 3_300;

  /** Time in which an unanswered watch is given up, in milliseconds. */
  private static final long CONTACT_OVERHEAD_MS = 500;

  /**
   * Part of the time to apply a configuration, or to drain an endpoint, that the pause takes; the
   * rest is left to followers that lose their observers at that moment, and to the way of the last
   * requests.
   */
  private static final double PAUSE_PART = 0.15;

  private static final long MIN_MS = 400;

  /**
   * Derives the times.
   *
   * @param bounds limits of the deployment
   * @return the times
   */
  public static WatchTimes of(VmSettings.Bounds bounds) {
    double apply = APPLY_PART * bounds.configurationApplyMs();
    double keys =
        bounds.failClosedOnStaleKeys() ? bounds.keyRevocationMs() - KEY_OVERHEAD_MS : apply;
    return new WatchTimes(
        Math.max(MIN_MS, (long) Math.min(apply, keys)),
        (long) (PAUSE_PART * bounds.configurationApplyMs()),
        Math.max(MIN_MS, bounds.contactMs() - CONTACT_OVERHEAD_MS),
        (long) (PAUSE_PART * bounds.drainMs()));
  }
}
