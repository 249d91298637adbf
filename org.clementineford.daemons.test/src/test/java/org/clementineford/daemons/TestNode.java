package org.clementineford.daemons;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.Settings;
import org.clementineford.node.Node;
import org.clementineford.node.NodeComponentFactories;
import org.clementineford.node.NodeComponentFactory;
import org.clementineford.node.NodeEnvironment;
import org.clementineford.node.NodeSettings;
import org.clementineford.platform.HttpObjectStore;
import org.clementineford.platform.HttpVmList;
import org.clementineford.transport.EventLoopScheduler;
import org.clementineford.transport.LinkShaping;

/** A daemon inside the test process, with threads of its own so that it can be killed. */
final class TestNode {
  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final Node node;

  TestNode(VmRole role, List<String> arguments) throws ClementinefordException {
    List<NodeComponentFactory> factories = NodeComponentFactories.of(role);
    List<Setting<?>> declared = NodeComponentFactories.settings(role);
    Settings settings = Settings.read(declared, arguments.toArray(String[]::new), Map.of());
    node =
        new Node(
            NodeSettings.of(settings, role, SystemEpochClock.INSTANCE),
            new NodeEnvironment(
                eventLoops,
                new EventLoopScheduler(eventLoops),
                SystemNanoClock.INSTANCE,
                SystemEpochClock.INSTANCE,
                LinkShaping.NONE,
                HttpObjectStore::new,
                HttpVmList::new));
    node.start(factories, settings);
  }

  HostPort peerAddress() {
    return node.peerAddress();
  }

  HostPort adminAddress() {
    return node.adminAddress();
  }

  /** Stops as on SIGTERM; completes when all work in flight has ended. */
  CompletableFuture<Void> stop() {
    return CompletableFuture.runAsync(
        () -> {
          node.stop();
          kill();
        });
  }

  /** Ends like a killed process: all sockets close and no timer runs any more. */
  void kill() {
    eventLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }
}
