package org.clementineford.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.clementineford.kernel.HostPort;
import org.clementineford.serving.model.Endpoint;

/**
 * Settings of one process, decoded from the platform's settings file.
 *
 * @param vm name of the VM
 * @param dataCentre data centre of the VM
 * @param region region of the data centre
 * @param regions region of each data centre
 * @param callerAddress address for requests of callers; empty on endpoint VMs
 * @param readinessAddress address for readiness checks of the platform; empty on endpoint VMs
 * @param peerAddress TCP address at which other VMs request copies and chunks
 * @param datagramAddress UDP address for datagrams of other VMs
 * @param seeds addresses of entry VMs to contact first
 * @param engineAddress address of the engine on this VM; empty on entry VMs
 * @param engineService service of that engine; empty on entry VMs
 * @param platformAddress address of the platform's object API
 * @param linkBytesPerSecond rate of the VM's network link, in bytes per second
 * @param bounds time limits and retry budget of the deployment
 */
public record VmSettings(
    String vm,
    String dataCentre,
    String region,
    Map<String, String> regions,
    Optional<HostPort> callerAddress,
    Optional<HostPort> readinessAddress,
    HostPort peerAddress,
    HostPort datagramAddress,
    List<HostPort> seeds,
    Optional<HostPort> engineAddress,
    String engineService,
    HostPort platformAddress,
    long linkBytesPerSecond,
    Bounds bounds) {
  /** Makes defensive copies of the collections. */
  public VmSettings {
    regions = Map.copyOf(regions);
    seeds = List.copyOf(seeds);
  }

  /**
   * Returns the region of an endpoint.
   *
   * @param endpoint the endpoint
   * @return its region; the name of its data centre if the settings contain no region for it
   */
  public String regionOf(Endpoint endpoint) {
    return regions.getOrDefault(endpoint.dataCentre(), endpoint.dataCentre());
  }

  /**
   * Time limits and retry budget of a deployment.
   *
   * @param stopTimeoutMs time from SIGTERM to SIGKILL, in milliseconds
   * @param keyRevocationMs longest time for which a removed key may still be accepted, in
   *     milliseconds
   * @param failClosedOnStaleKeys true to refuse requests with a key unless the key was recently
   *     confirmed
   * @param versionSwitchMs time after the naming of a version from which on no request may start on
   *     an older one, in milliseconds
   * @param retryRatio retries allowed per request
   * @param fixedRetriesPerWindow retries allowed per window for all entry VMs together, on top of
   *     the ratio
   * @param retryWindowSeconds length of the window, in seconds
   * @param endpointExpiryMs time after which the platform removes the entry of an endpoint that no
   *     longer writes it, in milliseconds
   * @param configurationApplyMs time after which a configuration must be in force on each VM, in
   *     milliseconds
   * @param drainMs time after which an endpoint that leaves must get no new request, in
   *     milliseconds
   * @param contactMs time without a disturbance after which all of these limits hold for a VM, in
   *     milliseconds
   */
  public record Bounds(
      long stopTimeoutMs,
      long keyRevocationMs,
      boolean failClosedOnStaleKeys,
      long versionSwitchMs,
      double retryRatio,
      double fixedRetriesPerWindow,
      double retryWindowSeconds,
      long endpointExpiryMs,
      long configurationApplyMs,
      long drainMs,
      long contactMs) {}
}
