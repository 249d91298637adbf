package org.clementineford.transport.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.timeline.HybridLogicalClock;
import org.clementineford.testing.VirtualTime;
import org.clementineford.transport.PeerTiming;
import org.clementineford.wire.VmIdentity;
import org.clementineford.wire.VmRole;
import org.junit.jupiter.api.Test;

class ConnectionHandlerTest {
  private final VirtualTime time = new VirtualTime(0);
  private final EmbeddedChannel channel = new EmbeddedChannel();

  private void connect() {
    channel.freezeTime();
    VmIdentity self = new VmIdentity("vm-1", VmRole.ENTRY, "lorient", "brittany", 1, "127.0.0.1:1");
    channel
        .pipeline()
        .addLast(
            new ConnectionHandler(
                self,
                true,
                (firstPayload, exchange) -> {},
                PeerTiming.DEFAULT,
                time,
                new HybridLogicalClock(time.epochClock()),
                () -> {}));
    channel.pipeline().fireChannelActive();
  }

  private void advance(long milliseconds) {
    time.advance(milliseconds, TimeUnit.MILLISECONDS);
    channel.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }

  // Guards against connections that stay open indefinitely after the network path was lost.
  @Test
  void connectionWithoutFramesIsClosedAfterTheHeartbeatTimeout() {
    connect();
    for (int i = 0; i < 3; i++) {
      advance(1000);
      assertThat(channel.isActive()).isTrue();
    }
    advance(1000);
    assertThat(channel.isActive()).isFalse();
  }

  // Guards against a process that closes its connections to live peers after it was paused itself:
  // the heartbeats that arrived during the pause are read only after the overdue check has run.
  @Test
  void pausedProcessRestartsTheHeartbeatTimeout() {
    connect();
    advance(10_000);
    assertThat(channel.isActive()).isTrue();
    advance(1000);
    assertThat(channel.isActive()).isTrue();
  }
}
