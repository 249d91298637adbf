package org.clementineford.launcher;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import org.agrona.concurrent.NanoClock;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.apache.commons.cli.help.HelpFormatter;
import org.clementineford.fleet.SuspensionAwareClock;
import org.clementineford.fleet.VmSettings;
import org.clementineford.gateway.EntryVm;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;
import org.clementineford.kernel.settings.Settings;
import org.clementineford.platform.fleet.HttpEngine;
import org.clementineford.platform.fleet.HttpOrigin;
import org.clementineford.platform.fleet.ObjectDecoder;
import org.clementineford.platform.fleet.PlatformObjects;
import org.clementineford.platform.fleet.RequestHeaders;
import org.clementineford.platform.fleet.SettingsFile;
import org.clementineford.replica.EndpointVm;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpServer;
import org.clementineford.transport.http.MetricsHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Starts the process of an entry VM or of an endpoint VM from its arguments and settings. */
final class VmStart {
  private static final String NAME = "clementineford";
  private static final String USAGE = "the role is missing; use: " + NAME + " entry|endpoint";
  private static final int MAX_BODY_BYTES = 1 << 16;

  /** Port of the metrics page; 0 for no page. */
  private static final Setting<Long> METRICS_PORT =
      new Setting<>(
          "metrics-port",
          "Port at which metrics are served in Prometheus text format, at /metrics; 0 for none.",
          "0",
          SettingParser.wholeNumber(0, 65_535));

  private static final Setting<String> LOG_LEVEL =
      new Setting<>(
          "log-level",
          "Lowest level of log lines: DEBUG, INFO, WARN.",
          "INFO",
          SettingParser.text());

  private static final List<Setting<?>> SETTINGS = List.of(METRICS_PORT, LOG_LEVEL);

  private final ProcessLifecycle lifecycle;
  private final SettingsCheck settingsCheck;

  /**
   * Creates a start that has not begun.
   *
   * @param lifecycle runs the start, and the stop of what was started
   * @param settingsCheck enabled once the settings are read
   */
  VmStart(ProcessLifecycle lifecycle, SettingsCheck settingsCheck) {
    this.lifecycle = lifecycle;
    this.settingsCheck = settingsCheck;
  }

  /**
   * Starts the process, or prints the help if the arguments request it.
   *
   * @param arguments flags and the role
   * @param environment environment variables
   * @throws ClementinefordException if an argument or a setting is invalid, or an address cannot be
   *     bound
   */
  void run(String[] arguments, Map<String, String> environment) throws ClementinefordException {
    Settings flags = Settings.read(SETTINGS, arguments, environment);
    if (flags.isHelpRequested()) {
      printHelp();
      return;
    }
    LogConfiguration.setLevel(flags.get(LOG_LEVEL));
    if (flags.arguments().size() != 1) {
      throw new SettingException(USAGE);
    }
    String role = flags.arguments().get(0);
    EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    if (role.equals("load-classes")) {
      ClassArchive.loadClasses(eventLoops);
      return;
    }
    VmSettings settings = SettingsFile.read(environment);
    settingsCheck.enable(() -> checkSettings(settings, environment));
    int metricsPort = flags.get(METRICS_PORT).intValue();
    lifecycle.start(
        () -> {
          // Nothing may fail after callers are accepted.
          startMetrics(settings, metricsPort, eventLoops);
          return switch (role) {
            case "entry" -> startEntryVm(settings, eventLoops);
            case "endpoint" -> startEndpointVm(settings, eventLoops);
            default -> throw new SettingException(USAGE);
          };
        });
  }

  private static void startMetrics(VmSettings settings, int port, EventLoopGroup eventLoops)
      throws ClementinefordException {
    if (port > 0) {
      HttpServer.start(
          eventLoops,
          new HostPort(settings.peerAddress().host(), port),
          MAX_BODY_BYTES,
          LinkShaping.NONE,
          new MetricsHandler(PrometheusRegistry.defaultRegistry));
    }
  }

  private static void printHelp() {
    try {
      HelpFormatter.builder()
          .setShowSince(false)
          .get()
          .printHelp(NAME + " entry|endpoint", "", Settings.options(SETTINGS), "", true);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static ProcessLifecycle.Stop startEntryVm(VmSettings settings, EventLoopGroup eventLoops)
      throws ClementinefordException {
    NanoClock clock = SystemNanoClock.INSTANCE;
    EntryVm vm =
        new EntryVm(
            settings,
            objects(settings, eventLoops),
            new ObjectDecoder(),
            new RequestHeaders(SystemEpochClock.INSTANCE),
            eventLoops,
            clock,
            SystemEpochClock.INSTANCE,
            new SuspensionAwareClock(clock, SystemEpochClock.INSTANCE),
            () -> ThreadLocalRandom.current().nextDouble(),
            PrometheusRegistry.defaultRegistry);
    vm.start();
    return vm::stop;
  }

  static ProcessLifecycle.Stop startEndpointVm(VmSettings settings, EventLoopGroup eventLoops)
      throws ClementinefordException {
    EndpointVm vm =
        new EndpointVm(
            settings,
            objects(settings, eventLoops),
            new ObjectDecoder(),
            new HttpEngine(client(eventLoops), settings.engineAddress().orElseThrow()),
            new HttpOrigin(client(eventLoops)),
            eventLoops,
            SystemNanoClock.INSTANCE,
            new SuspensionAwareClock(SystemNanoClock.INSTANCE, SystemEpochClock.INSTANCE),
            SystemEpochClock.INSTANCE.time());
    vm.start();
    return requestedAt -> vm.stop();
  }

  private static PlatformObjects objects(VmSettings settings, EventLoopGroup eventLoops) {
    return new PlatformObjects(client(eventLoops), settings.platformAddress());
  }

  private static HttpClient client(EventLoopGroup eventLoops) {
    return new HttpClient(eventLoops, LinkShaping.NONE);
  }

  /** Checks the settings file for changes. The process keeps the settings with which it started. */
  private static void checkSettings(VmSettings settings, Map<String, String> environment) {
    Logger log = LoggerFactory.getLogger(VmStart.class);
    try {
      boolean same = SettingsFile.read(environment).equals(settings);
      log.atInfo()
          .addKeyValue("changed", !same)
          .log("checked the settings file; changes take effect at the next start of the process");
    } catch (SettingException e) {
      log.warn("invalid settings file; keeping the settings in use: {}", e.getMessage());
    }
  }
}
