package org.clementineford.replica.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.replica.EngineStatus;
import org.clementineford.testing.VirtualTime;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.weights.TransferLimits;
import org.clementineford.wire.EngineReport;
import org.clementineford.wire.NamedVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EngineReportsTest {
  private final VirtualTime time = new VirtualTime(0);
  private final MultiThreadIoEventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final WeightRollout rollout =
      new WeightRollout(
          new TransferContext(
              null,
              time,
              time,
              new HttpClient(eventLoops, LinkShaping.NONE),
              null,
              () -> null,
              TransferLimits.DEFAULT),
          null,
          new ActivationSchedule(8_000),
          () -> {});
  private final List<EngineReport> sent = new ArrayList<>();
  private final EngineReports reports =
      new EngineReports(rollout, time, 100, (receiver, datagram) -> sent.add(datagram.getReport()));
  private final HostPort entryVm = new HostPort("10.0.0.1", 7701);

  @AfterEach
  void stop() {
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private void status(int running) {
    rollout.statusChanged(new EngineStatus(1, 1, false, running, 0, 0, 1, false, 1.0));
    reports.send();
  }

  // Guards against lost or late reports that leave an entry VM with an outdated status.
  @Test
  void areRepeatedAndNumbered() {
    reports.subscribe(entryVm);
    status(1);
    status(1);
    assertThat(sent).hasSize(1);
    status(2);
    time.advance(300, TimeUnit.MILLISECONDS);
    reports.send();
    assertThat(sent).extracting(EngineReport::getNumber).containsExactly(101L, 102L, 103L);
  }

  // Guards against reports to entry VMs that no longer run.
  @Test
  void stopWhenTheSubscriptionExpires() {
    reports.subscribe(entryVm);
    time.advance(4, TimeUnit.SECONDS);
    status(1);
    assertThat(sent).isEmpty();
  }

  // Guards against a restarted process that reports an age for a version named at an unknown time.
  @Test
  void haveNoTargetAgeIfTheNamingWasNotSeen() {
    reports.subscribe(entryVm);
    rollout.setModel("m", Optional.empty());
    rollout.updateTarget("m", 2, time.nanoTime(), false);
    status(1);
    assertThat(sent.get(0).getTargetAgeMs()).isEqualTo(-1);
  }

  // Guards against an entry VM that starts between two versions and misses the first one's bound.
  @Test
  void nameTheVersionsBeforeTheTarget() {
    reports.subscribe(entryVm);
    rollout.setModel("m", Optional.empty());
    rollout.updateTarget("m", 2, time.nanoTime(), false);
    rollout.updateTarget("m", 3, time.nanoTime(), true);
    time.advance(2, TimeUnit.SECONDS);
    reports.subscribe(entryVm);
    rollout.updateTarget("m", 4, time.nanoTime(), true);
    status(1);
    assertThat(sent.get(0).getTargetVersion()).isEqualTo(4);
    assertThat(sent.get(0).getEarlierTargets())
        .containsExactly(new NamedVersion(2, -1), new NamedVersion(3, 2_000));
  }
}
