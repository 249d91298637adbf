package org.clementineford.node.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.configuration.Document;
import org.clementineford.kernel.timeline.HybridLogicalClock;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.testing.VirtualTime;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.PeerNetwork;
import org.clementineford.transport.PeerTiming;
import org.clementineford.wire.VmIdentity;
import org.clementineford.wire.VmRole;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ConfigurationLockTest {
  private static final VmIdentity SELF =
      new VmIdentity("vm-1", VmRole.ENDPOINT, "lorient", "brittany", 1, "127.0.0.1:0");

  private final VirtualTime time = new VirtualTime(1_000_000);
  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final PeerNetwork network =
      new PeerNetwork(eventLoops, SELF, PeerTiming.DEFAULT, time, LinkShaping.NONE);

  @AfterEach
  void stop() {
    network.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  // Guards against a deadlock of the process: a listener waits for the lock of the membership,
  // which is held by a thread that reads the revision for a message to a peer.
  @Test
  void configurationIsReadableWhileListenersRun() {
    HybridLogicalClock hybridClock = new HybridLogicalClock(time.epochClock());
    ConfigurationAgent agent =
        new ConfigurationAgent(
            network,
            new Timeline(hybridClock, "vm-1", 1, 100),
            hybridClock,
            time,
            time.epochClock(),
            List::of);
    CompletableFuture<Long> read = new CompletableFuture<>();
    agent.onChange(
        snapshot -> {
          CompletableFuture<Long> readOnOtherThread =
              CompletableFuture.supplyAsync(() -> agent.current().revision());
          readOnOtherThread
              .orTimeout(5, TimeUnit.SECONDS)
              .handle((revision, failure) -> read.complete(failure == null ? revision : -1L))
              .join();
        });
    agent.offer(new Document(7, Map.of(), List.of()), "test");
    assertThat(read).isCompletedWithValue(7L);
  }
}
