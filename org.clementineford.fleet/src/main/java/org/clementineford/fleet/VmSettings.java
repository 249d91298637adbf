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
 * @param callerAddress where callers connect; empty on endpoint VMs
 * @param readinessAddress where the platform asks for readiness; empty on endpoint VMs
 * @param peerAddress where other VMs ask for copies and chunks, over TCP
 * @param datagramAddress where other VMs send datagrams
 * @param seeds addresses of entry VMs to ask first
 * @param engineAddress engine on this VM; empty on entry VMs
 * @param engineService service of that engine; empty on entry VMs
 * @param platformAddress address of the platform's object API
 * @param linkBytesPerSecond rate of the VM's link
 * @param bounds times and ratios that the deployment states
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
  /** Copies the collections. */
  public VmSettings {
    regions = Map.copyOf(regions);
    seeds = List.copyOf(seeds);
  }

  /**
   * Returns the region of an endpoint.
   *
   * @param endpoint the endpoint
   * @return its region; its data centre if the settings do not state a region for that
   */
  public String regionOf(Endpoint endpoint) {
    return regions.getOrDefault(endpoint.dataCentre(), endpoint.dataCentre());
  }

  /**
   * Times and ratios of a deployment.
   *
   * @param stopMs time from SIGTERM to SIGKILL, in milliseconds
   * @param keyRevocationMs time within which a removed key must stop working, in milliseconds
   * @param keysNeedProof true if requests with a key are refused without a recent proof of the key
   * @param versionMs time after which no request begins on an older version, in milliseconds
   * @param retryRatio repeated sends for each request
   * @param retryFixed repeated sends of all entry VMs in a window, besides the ratio
   * @param retryWindowSeconds length of that window, in seconds
   */
  public record Bounds(
      long stopMs,
      long keyRevocationMs,
      boolean keysNeedProof,
      long versionMs,
      double retryRatio,
      double retryFixed,
      double retryWindowSeconds) {}
}
