package org.clementineford.launcher;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import org.agrona.concurrent.NanoClock;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.fleet.TrustClock;
import org.clementineford.fleet.VmSettings;
import org.clementineford.gateway.EntryVm;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.platform.fleet.HttpEngine;
import org.clementineford.platform.fleet.HttpOrigin;
import org.clementineford.platform.fleet.ObjectDecoder;
import org.clementineford.platform.fleet.PlatformObjects;
import org.clementineford.platform.fleet.RequestHeaders;
import org.clementineford.platform.fleet.SettingsFile;
import org.clementineford.replica.EndpointVm;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/** Starts the process of an entry VM or of an endpoint VM. */
public final class Main {
  private static final String USAGE = "usage: clementineford entry|endpoint";

  private Main() {}

  /**
   * Starts a process.
   *
   * @param arguments {@code entry} or {@code endpoint}; the build uses {@code load-classes}
   */
  public static void main(String[] arguments) {
    LogConfiguration.apply(System.getenv());
    Logger log = LoggerFactory.getLogger(Main.class);
    try {
      start(arguments, System.getenv());
    } catch (ClementinefordException e) {
      log.error("not started: {}", e.getMessage(), e);
      System.exit(e.kind().exitCode());
    } catch (RuntimeException e) {
      log.error("not started", e);
      System.exit(ErrorKind.INTERNAL.exitCode());
    }
  }

  private static void start(String[] arguments, Map<String, String> environment)
      throws ClementinefordException {
    if (arguments.length != 1) {
      throw new SettingException(USAGE);
    }
    EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    if (arguments[0].equals("load-classes")) {
      ClassArchive.loadClasses(eventLoops);
      return;
    }
    VmSettings settings = SettingsFile.read(environment);
    switch (arguments[0]) {
      case "entry" -> startEntryVm(settings, eventLoops);
      case "endpoint" -> startEndpointVm(settings, eventLoops);
      default -> throw new SettingException(USAGE);
    }
    Signal.handle(new Signal("HUP"), signal -> reload(settings, environment));
  }

  static void startEntryVm(VmSettings settings, EventLoopGroup eventLoops)
      throws ClementinefordException {
    NanoClock clock = SystemNanoClock.INSTANCE;
    EntryVm vm =
        new EntryVm(
            settings,
            objects(settings, eventLoops),
            new ObjectDecoder(),
            new RequestHeaders(),
            eventLoops,
            clock,
            new TrustClock(clock, SystemEpochClock.INSTANCE),
            () -> ThreadLocalRandom.current().nextDouble(),
            PrometheusRegistry.defaultRegistry);
    vm.start();
    Runtime.getRuntime().addShutdownHook(new Thread(vm::stop, "stop"));
  }

  static void startEndpointVm(VmSettings settings, EventLoopGroup eventLoops)
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
            SystemEpochClock.INSTANCE.time());
    vm.start();
    Runtime.getRuntime().addShutdownHook(new Thread(vm::stop, "stop"));
  }

  private static PlatformObjects objects(VmSettings settings, EventLoopGroup eventLoops) {
    return new PlatformObjects(client(eventLoops), settings.platformAddress());
  }

  private static HttpClient client(EventLoopGroup eventLoops) {
    return new HttpClient(eventLoops, LinkShaping.NONE);
  }

  /** Checks changed settings; what they hold is fixed for the life of a process. */
  private static void reload(VmSettings settings, Map<String, String> environment) {
    Logger log = LoggerFactory.getLogger(Main.class);
    try {
      boolean same = SettingsFile.read(environment).equals(settings);
      log.atInfo().addKeyValue("changed", !same).log("settings read again");
    } catch (SettingException e) {
      log.warn("changed settings ignored: {}", e.getMessage());
    }
  }
}
