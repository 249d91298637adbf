package org.clementineford.standins;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.help.HelpFormatter;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.plugins.PlugInRegistry;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;
import org.clementineford.kernel.settings.Settings;

/** Main class that runs one stand-in as a process until SIGTERM. */
public final class StandIn {
  private static final Setting<HostPort> ADDRESS =
      new Setting<>(
          "address",
          "IP address and port to listen on; port 0 chooses a free one.",
          "127.0.0.1:0",
          SettingParser.hostPort());
  private static final Setting<Long> SEED =
      new Setting<>(
          "seed",
          "Seed of random choices and generated content.",
          "1",
          SettingParser.wholeNumber(Long.MIN_VALUE, Long.MAX_VALUE));
  private static final Setting<Long> THREADS =
      new Setting<>("threads", "Number of event loops.", "1", SettingParser.wholeNumber(1, 64));

  private StandIn() {}

  /**
   * Runs {@code bin/standin KIND [flags]}. Prints {@code listening on HOST:PORT} when ready.
   *
   * @param arguments the kind and its flags
   */
  public static void main(String[] arguments) {
    try {
      run(arguments);
    } catch (ClementinefordException e) {
      System.err.println(e.getMessage());
      System.exit(e.kind().exitCode());
    } catch (IOException e) {
      System.err.println("cannot print the help: " + e.getMessage());
      System.exit(1);
    }
  }

  private static void run(String[] arguments) throws ClementinefordException, IOException {
    StandInKind kind =
        PlugInRegistry.load(StandInKind.class).get(arguments.length == 0 ? "" : arguments[0]);
    List<Setting<?>> declared = new ArrayList<>(List.of(ADDRESS, SEED, THREADS));
    declared.addAll(kind.settings());
    Settings settings =
        Settings.read(
            declared, Arrays.copyOfRange(arguments, 1, arguments.length), System.getenv());
    if (settings.isHelpRequested()) {
      HelpFormatter.builder()
          .setShowSince(false)
          .get()
          .printHelp("standin " + kind.name(), "", Settings.options(declared), "", true);
      return;
    }
    EventLoopGroup eventLoops =
        new MultiThreadIoEventLoopGroup(
            settings.get(THREADS).intValue(), NioIoHandler.newFactory());
    HttpStandIn standIn;
    try {
      standIn =
          kind.create(
              StandInContext.onSystemTime(eventLoops, settings.get(ADDRESS), settings.get(SEED)),
              settings);
      standIn.start();
    } catch (ClementinefordException e) {
      eventLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
      throw e;
    }
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  standIn.close();
                  eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
                },
                "stop"));
    System.out.println("listening on " + standIn.address());
  }
}
