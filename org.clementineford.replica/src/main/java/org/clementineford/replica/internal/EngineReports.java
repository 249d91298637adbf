package org.clementineford.replica.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.HostPort;
import org.clementineford.replica.EngineStatus;
import org.clementineford.wire.EngineReport;
import org.clementineford.wire.FleetDatagram;

/** Reports load and weights of the engine on this VM to entry VMs. Not thread-safe. */
final class EngineReports {
  /** Interval between repeated reports; any datagram may be lost. */
  private static final long REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Lifetime of a subscription; entry VMs renew theirs every second. */
  private static final long SUBSCRIPTION_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final WeightRollout rollout;
  private final NanoClock clock;
  private final BiConsumer<HostPort, FleetDatagram> sender;
  private final Map<HostPort, Long> subscribers = new HashMap<>();
  private EngineReport last;
  private long sentAt;
  private long number;

  /**
   * Creates an instance without subscribers.
   *
   * @param rollout rollout that provides the state of the engine
   * @param clock monotonic clock
   * @param firstNumber number one below that of the first report; must exceed the report numbers of
   *     earlier incarnations
   * @param sender sends a datagram to an address
   */
  EngineReports(
      WeightRollout rollout,
      NanoClock clock,
      long firstNumber,
      BiConsumer<HostPort, FleetDatagram> sender) {
    this.rollout = rollout;
    this.clock = clock;
    this.number = firstNumber;
    this.sender = sender;
  }

  void subscribe(HostPort entryVm) {
    subscribers.put(entryVm, clock.nanoTime());
  }

  /** Sends a report if it differs from the last one or the repeat interval has passed. */
  void send() {
    EngineStatus status = rollout.status();
    EngineReport report =
        new EngineReport()
            .setIncarnation(status.incarnation())
            .setWeightVersion(status.weightVersion())
            .setTargetVersion(rollout.target())
            .setChangingVersion(rollout.isChanging())
            .setRunning(status.running())
            .setWaiting(status.waiting())
            .setMemoryUsed(status.memoryUsed())
            .setMemoryTotal(status.memoryTotal())
            .setLeaving(status.leaving())
            .setPace(status.pace());
    long now = clock.nanoTime();
    if (report.equals(last) && now - sentAt < REPEAT_NANOS) {
      return;
    }
    last = report;
    sentAt = now;
    number++;
    FleetDatagram datagram = new FleetDatagram();
    datagram.setReport(
        report
            .deepCopy()
            .setTargetAgeMs(rollout.named().ageMs(rollout.target()))
            .setEarlierTargets(rollout.named().before(rollout.target()))
            .setNumber(number));
    subscribers.values().removeIf(heardAt -> now - heardAt > SUBSCRIPTION_NANOS);
    subscribers.keySet().forEach(entryVm -> sender.accept(entryVm, datagram));
  }
}
