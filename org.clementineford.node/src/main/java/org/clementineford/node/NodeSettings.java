package org.clementineford.node;

import java.net.URI;
import java.util.List;
import org.agrona.concurrent.EpochClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;
import org.clementineford.kernel.settings.Settings;

/**
 * Validated settings common to all processes.
 *
 * @param identity identity of this process; its address is where it listens for peers
 * @param adminAddress address on which the admin HTTP server listens
 * @param platform address of the platform's object API and VM list
 * @param seeds peers to contact at startup
 * @param drainTimeoutMs maximum duration of a graceful stop, in milliseconds
 */
public record NodeSettings(
    VmIdentity identity,
    HostPort adminAddress,
    HostPort platform,
    List<HostPort> seeds,
    long drainTimeoutMs) {
  private static final String ANY_PORT = "127.0.0.1:0";
  private static final String INCARNATION_FROM_CLOCK = "0";

  /** Name of the VM. */
  public static final Setting<String> VM =
      new Setting<>("vm", "Name of this VM, unique in the fleet.", null, SettingParser.text());

  /** Data centre of the VM. */
  public static final Setting<String> DATA_CENTRE =
      new Setting<>("data-centre", "Data centre of this VM.", null, SettingParser.text());

  /** Region of the VM. */
  public static final Setting<String> REGION =
      new Setting<>("region", "Region of the data centre.", null, SettingParser.text());

  /** Address on which the process listens for peers. */
  public static final Setting<HostPort> PEER_ADDRESS =
      new Setting<>(
          "peer-address",
          "HOST:PORT on which this process listens for other processes of the fleet; port 0 picks a"
              + " free port.",
          ANY_PORT,
          SettingParser.hostPort());

  /** Address on which the admin server listens. */
  public static final Setting<HostPort> ADMIN_ADDRESS =
      new Setting<>(
          "admin-address",
          "HOST:PORT of the admin HTTP server (/ready, /status, /metrics, /timeline, /document);"
              + " port 0 picks a free port.",
          ANY_PORT,
          SettingParser.hostPort());

  /** URL of the platform. */
  public static final Setting<URI> PLATFORM =
      new Setting<>(
          "platform", "URL of the platform's object API and VM list.", null, SettingParser.url());

  /** Peers to contact at startup. */
  public static final Setting<List<HostPort>> SEEDS =
      new Setting<>(
          "seeds",
          "Comma-separated HOST:PORT list of peers to contact at startup.",
          "",
          SettingParser.hostPorts());

  /** Incarnation number of the process. */
  public static final Setting<Long> INCARNATION =
      new Setting<>(
          "incarnation",
          "Incarnation number of this process, higher than those of its earlier runs; 0 uses the"
              + " wall clock in milliseconds.",
          INCARNATION_FROM_CLOCK,
          SettingParser.wholeNumber(0, Long.MAX_VALUE));

  /** Maximum duration of a graceful stop. */
  public static final Setting<Long> DRAIN_TIMEOUT_MS =
      new Setting<>(
          "drain-timeout-ms",
          "Maximum duration of a graceful stop in milliseconds. During it, requests whose deadline"
              + " lies behind its end are refused; work still in flight at its end is aborted.",
          "35000",
          SettingParser.wholeNumber(0, 3_600_000));

  /** Copies the seeds. */
  public NodeSettings {
    seeds = List.copyOf(seeds);
  }

  /**
   * Returns the settings common to all processes.
   *
   * @return the settings
   */
  public static List<Setting<?>> declared() {
    return List.of(
        VM,
        DATA_CENTRE,
        REGION,
        PEER_ADDRESS,
        ADMIN_ADDRESS,
        PLATFORM,
        SEEDS,
        INCARNATION,
        DRAIN_TIMEOUT_MS);
  }

  /**
   * Creates the settings of a process.
   *
   * @param settings validated settings of the process
   * @param role role of the process
   * @param epochClock wall clock, for the default incarnation
   * @return the settings common to all processes
   */
  public static NodeSettings of(Settings settings, VmRole role, EpochClock epochClock) {
    long configuredIncarnation = settings.get(INCARNATION);
    URI platform = settings.get(PLATFORM);
    return new NodeSettings(
        new VmIdentity(
            settings.get(VM),
            role,
            settings.get(DATA_CENTRE),
            settings.get(REGION),
            configuredIncarnation == 0 ? epochClock.time() : configuredIncarnation,
            settings.get(PEER_ADDRESS)),
        settings.get(ADMIN_ADDRESS),
        new HostPort(platform.getHost(), platform.getPort()),
        settings.get(SEEDS),
        settings.get(DRAIN_TIMEOUT_MS));
  }
}
