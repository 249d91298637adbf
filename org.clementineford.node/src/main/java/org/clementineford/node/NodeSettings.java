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
 * Checked settings that every process has.
 *
 * @param identity identity of this process; its address is the listener for peers
 * @param adminAddress where the admin HTTP server listens
 * @param platform address of the platform's object API and VM list
 * @param seeds peers to contact at the start
 * @param drainTimeoutMs longest time for a graceful stop, in milliseconds
 */
public record NodeSettings(
    VmIdentity identity,
    HostPort adminAddress,
    HostPort platform,
    List<HostPort> seeds,
    long drainTimeoutMs) {
  private static final String ANY_PORT = "127.0.0.1:0";
  private static final String FROM_CLOCK = "0";

  /** Name of the VM. */
  public static final Setting<String> VM =
      new Setting<>("vm", "Name of this VM, unique in the fleet.", null, SettingParser.text());

  /** Data centre of the VM. */
  public static final Setting<String> DATA_CENTRE =
      new Setting<>("data-centre", "Data centre of this VM.", null, SettingParser.text());

  /** Region of the VM. */
  public static final Setting<String> REGION =
      new Setting<>("region", "Region of the data centre.", null, SettingParser.text());

  /** Listener for peers. */
  public static final Setting<HostPort> PEER_ADDRESS =
      new Setting<>(
          "peer-address",
          "HOST:PORT on which other processes of the fleet reach this one; port 0 picks a free"
              + " one.",
          ANY_PORT,
          SettingParser.hostPort());

  /** Listener of the admin server. */
  public static final Setting<HostPort> ADMIN_ADDRESS =
      new Setting<>(
          "admin-address",
          "HOST:PORT of the admin HTTP server (/ready, /status, /metrics, /timeline, /document);"
              + " port 0 picks a free one.",
          ANY_PORT,
          SettingParser.hostPort());

  /** URL of the platform. */
  public static final Setting<URI> PLATFORM =
      new Setting<>(
          "platform", "URL of the platform's object API and VM list.", null, SettingParser.url());

  /** Peers to contact first. */
  public static final Setting<List<HostPort>> SEEDS =
      new Setting<>(
          "seeds",
          "HOST:PORT list, separated by commas, of peers to contact at the start.",
          "",
          SettingParser.hostPorts());

  /** Incarnation of the process. */
  public static final Setting<Long> INCARNATION =
      new Setting<>(
          "incarnation",
          "Number of this life of the process, above those of earlier lives; 0 takes the wall clock"
              + " in milliseconds.",
          FROM_CLOCK,
          SettingParser.wholeNumber(0, Long.MAX_VALUE));

  /** Time for a graceful stop. */
  public static final Setting<Long> DRAIN_TIMEOUT_MS =
      new Setting<>(
          "drain-timeout-ms",
          "Longest time for a graceful stop in milliseconds; work still in flight is then broken"
              + " off.",
          "30000",
          SettingParser.wholeNumber(0, 3_600_000));

  /** Copies the seeds. */
  public NodeSettings {
    seeds = List.copyOf(seeds);
  }

  /**
   * Returns the settings to declare.
   *
   * @return the settings of every process
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
   * Takes the values of a process.
   *
   * @param settings checked settings
   * @param role role of the process
   * @param epochClock wall clock, for the default incarnation
   * @return the values
   */
  public static NodeSettings of(Settings settings, VmRole role, EpochClock epochClock) {
    long given = settings.get(INCARNATION);
    URI platform = settings.get(PLATFORM);
    return new NodeSettings(
        new VmIdentity(
            settings.get(VM),
            role,
            settings.get(DATA_CENTRE),
            settings.get(REGION),
            given == 0 ? epochClock.time() : given,
            settings.get(PEER_ADDRESS)),
        settings.get(ADMIN_ADDRESS),
        new HostPort(platform.getHost(), platform.getPort()),
        settings.get(SEEDS),
        settings.get(DRAIN_TIMEOUT_MS));
  }
}
