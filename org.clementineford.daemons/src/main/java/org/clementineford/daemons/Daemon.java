package org.clementineford.daemons;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.apache.commons.cli.help.HelpFormatter;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.Settings;
import org.clementineford.node.Node;
import org.clementineford.node.NodeComponentFactories;
import org.clementineford.node.NodeComponentFactory;
import org.clementineford.node.NodeEnvironment;
import org.clementineford.node.NodeSettings;
import org.clementineford.platform.HttpObjectStore;
import org.clementineford.platform.HttpVmList;
import org.clementineford.transport.ChannelNames;
import org.clementineford.transport.EventLoopScheduler;
import org.clementineford.transport.LinkShaping;

/** Starts a node from the settings of its role and stops it when the process ends. */
final class Daemon {
  private static final int EVENT_LOOP_THREADS =
      Math.max(2, Runtime.getRuntime().availableProcessors() / 2);
  private static final long SHUTDOWN_MS = 500;

  private Daemon() {}

  /**
   * Starts a daemon, which runs until SIGTERM. If it cannot start, prints the cause and exits the
   * process.
   */
  static void run(String name, VmRole role, String[] arguments) {
    ChannelNames.useRandomNumbers();
    int exitCode = start(name, role, arguments, System.err);
    if (exitCode != 0) {
      System.exit(exitCode);
    }
  }

  /**
   * Starts a daemon, or prints its help if the arguments request it.
   *
   * @return 0 on success, otherwise the exit code of the failure, which was printed to {@code
   *     errors}
   */
  static int start(String name, VmRole role, String[] arguments, PrintStream errors) {
    try {
      start(name, role, arguments);
      return 0;
    } catch (ClementinefordException e) {
      errors.println(e.getMessage().replace('\n', ' '));
      return e.kind().exitCode();
    } catch (RuntimeException e) {
      errors.println("unexpected failure (" + e + "); report this defect");
      return ErrorKind.INTERNAL.exitCode();
    }
  }

  private static void start(String name, VmRole role, String[] arguments)
      throws ClementinefordException {
    List<NodeComponentFactory> factories = NodeComponentFactories.of(role);
    List<Setting<?>> declared = NodeComponentFactories.settings(role);
    Settings settings = Settings.read(declared, arguments, System.getenv());
    if (settings.isHelpRequested()) {
      printHelp(name, declared);
      return;
    }
    NodeSettings nodeSettings = NodeSettings.of(settings, role, SystemEpochClock.INSTANCE);
    EventLoopGroup eventLoops =
        new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
    Node node =
        new Node(
            nodeSettings,
            new NodeEnvironment(
                eventLoops,
                new EventLoopScheduler(eventLoops),
                SystemNanoClock.INSTANCE,
                SystemEpochClock.INSTANCE,
                LinkShaping.NONE,
                HttpObjectStore::new,
                HttpVmList::new));
    try {
      node.start(factories, settings);
    } catch (ClementinefordException | RuntimeException e) {
      eventLoops.shutdownGracefully(0, SHUTDOWN_MS, TimeUnit.MILLISECONDS);
      throw e;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node, eventLoops), "drain"));
  }

  private static void stop(Node node, EventLoopGroup eventLoops) {
    node.stop();
    eventLoops
        .shutdownGracefully(0, SHUTDOWN_MS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(SHUTDOWN_MS);
    // The JVM would exit with status 143 after SIGTERM; an orderly shutdown exits with 0.
    Runtime.getRuntime().halt(0);
  }

  private static void printHelp(String name, List<Setting<?>> declared) {
    try {
      HelpFormatter.builder()
          .setShowSince(false)
          .get()
          .printHelp(name, "", Settings.options(declared), "", true);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
