package org.clementineford.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.serving.quarantine.RequestQuarantine;
import org.clementineford.serving.quarantine.Suspect;
import org.clementineford.testing.VirtualTime;
import org.clementineford.wire.FleetDatagram;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class QuarantineExchangeTest {
  /** Time within which all VMs in touch must act on five crashes, in milliseconds. */
  private static final long CONTACT_MS = 3_000;

  private static final long DELAY_MS = 5;
  private static final double LOSS = 0.05;

  private final VirtualTime time = new VirtualTime(0);
  private final Random random = new Random(7);
  private final Map<HostPort, Vm> vms = new HashMap<>();
  private final List<HostPort> entryVms = new ArrayList<>();
  private final List<HostPort> endpointVms = new ArrayList<>();
  private final Set<HostPort> cutOff = new HashSet<>();
  private long bytes;

  /** A VM on a network that loses and delays datagrams. */
  private final class Vm {
    private final HostPort address;
    private final RequestQuarantine quarantine = new RequestQuarantine(time);
    private final QuarantineExchange exchange;
    private final List<Scheduler.Cancellable> timers = new ArrayList<>();

    Vm(HostPort address, boolean entry) {
      this.address = address;
      this.exchange =
          new QuarantineExchange(
              quarantine,
              () -> entry ? members() : List.of(),
              this::send,
              time,
              random::nextDouble,
              () -> {});
      if (entry) {
        exchange.start(
            new Scheduler() {
              @Override
              public Cancellable schedule(Runnable task, long delay, TimeUnit unit) {
                return time.schedule(task, delay, unit);
              }

              @Override
              public Cancellable scheduleWithFixedDelay(
                  Runnable task, long interval, TimeUnit unit) {
                Cancellable timer = time.scheduleWithFixedDelay(task, interval, unit);
                timers.add(timer);
                return timer;
              }
            });
      }
    }

    private List<HostPort> members() {
      List<HostPort> members = new ArrayList<>(entryVms);
      members.addAll(endpointVms);
      members.remove(address);
      return members;
    }

    private void send(HostPort receiver, FleetDatagram datagram) {
      bytes += ThriftCodec.encode(datagram).length;
      if (random.nextDouble() < LOSS || cutOff.contains(address) != cutOff.contains(receiver)) {
        return;
      }
      time.schedule(
          () -> vms.get(receiver).exchange.onMessage(address, datagram.getSuspects()),
          DELAY_MS,
          TimeUnit.MILLISECONDS);
    }

    void crash(int engine, int request, String... parts) {
      quarantine.interrupted("e" + engine, "r" + request, Suspect.parts("pool", List.of(parts)));
      quarantine.crashed("e" + engine);
    }

    boolean hasQuarantined() {
      return quarantine.quarantinedSuspect(Suspect.parts("pool", List.of("bad"))).isPresent();
    }
  }

  private void startEntryVm(int index) {
    HostPort address = new HostPort("10.0." + index / 200 + "." + index % 200, 7700);
    Vm previous = vms.get(address);
    if (previous == null) {
      entryVms.add(address);
    } else {
      previous.timers.forEach(Scheduler.Cancellable::cancel);
    }
    vms.put(address, new Vm(address, true));
  }

  private void startFleet(int size) {
    for (int i = 0; i < size; i++) {
      startEntryVm(i);
    }
    for (int i = 0; i < size; i++) {
      HostPort address = new HostPort("10.1." + i / 200 + "." + i % 200, 7700);
      endpointVms.add(address);
      vms.put(address, new Vm(address, false));
    }
    time.advance(1, TimeUnit.SECONDS);
  }

  private Vm entryVm(int index) {
    return vms.get(entryVms.get(index));
  }

  /** Five engines crash, each seen by another entry VM, beside neighbours of the bad request. */
  private void crashFiveEngines() {
    for (int i = 0; i < 5; i++) {
      entryVm(i).crash(i, i, "shared", "bad");
      for (int neighbour = 5; neighbour < 10; neighbour++) {
        entryVm(neighbour).crash(i, 100 + i * 10 + neighbour, "n" + neighbour + i);
      }
      time.advance(100, TimeUnit.MILLISECONDS);
    }
  }

  private long withoutQuarantine() {
    return entryVms.stream().filter(address -> !vms.get(address).hasQuarantined()).count();
  }

  @Nested
  class RepeatedRequest {
    private final Suspect fatal = Suspect.request("ledger", "target", "body");

    private void crash(int index, int server) {
      RequestQuarantine quarantine = entryVm(index).quarantine;
      quarantine.interrupted("s" + server, "r" + server, List.of(fatal));
      quarantine.crashed("s" + server);
    }

    // Guards against a VM that sends a request although it has ended three servers, each seen by
    // another VM; and against VMs that do not learn of it when they start or are connected again.
    @ParameterizedTest
    @ValueSource(ints = {7, 30, 100, 300})
    void isQuarantinedOnAllEntryVmsInTime(int size) {
      startFleet(size);
      cutOff.add(entryVms.get(5));
      for (int i = 0; i < 3; i++) {
        crash(i, i);
        time.advance(300, TimeUnit.MILLISECONDS);
      }
      time.advance(CONTACT_MS - 300, TimeUnit.MILLISECONDS);
      startEntryVm(6);
      cutOff.clear();
      for (int i = 0; i < size; i++) {
        if (i != 5 && i != 6) {
          assertThat(entryVm(i).quarantine.quarantinedSuspect(List.of(fatal))).isPresent();
        }
      }
      time.advance(CONTACT_MS, TimeUnit.MILLISECONDS);
      assertThat(entryVm(5).quarantine.quarantinedSuspect(List.of(fatal))).isPresent();
      assertThat(entryVm(6).quarantine.quarantinedSuspect(List.of(fatal))).isPresent();
    }
  }

  @Nested
  class FiveCrashes {
    // Guards against a VM that sends a query of death although the fleet has seen five crashes.
    @ParameterizedTest
    @ValueSource(ints = {30, 100, 300})
    void reachAllEntryVmsInTime(int size) {
      startFleet(size);
      crashFiveEngines();
      time.advance(CONTACT_MS / 2, TimeUnit.MILLISECONDS);
      assertThat(withoutQuarantine()).isZero();
    }

    // Guards against a VM that lacks what the others learned while it was cut off.
    @ParameterizedTest
    @ValueSource(ints = {30, 300})
    void reachVmsThatWereCutOff(int size) {
      startFleet(size);
      for (int i = 10; i < size; i += 3) {
        cutOff.add(entryVms.get(i));
      }
      crashFiveEngines();
      time.advance(20, TimeUnit.SECONDS);
      assertThat(withoutQuarantine()).isEqualTo(cutOff.size());
      cutOff.clear();
      time.advance(CONTACT_MS, TimeUnit.MILLISECONDS);
      assertThat(withoutQuarantine()).isZero();
    }

    // Guards against forgetting a query of death when single or all entry VMs restart.
    @ParameterizedTest
    @ValueSource(ints = {30, 300})
    void areKnownAfterRestarts(int size) {
      startFleet(size);
      crashFiveEngines();
      time.advance(10, TimeUnit.SECONDS);
      startEntryVm(size / 2);
      time.advance(CONTACT_MS, TimeUnit.MILLISECONDS);
      assertThat(withoutQuarantine()).isZero();
      for (int i = 0; i < size; i++) {
        startEntryVm(i);
      }
      assertThat(withoutQuarantine()).isEqualTo(size);
      time.advance(CONTACT_MS, TimeUnit.MILLISECONDS);
      assertThat(withoutQuarantine()).isZero();
    }
  }

  @Nested
  class Traffic {
    // Guards against an exchange that takes over a tenth of the 5 KB/s that a VM has for control.
    @ParameterizedTest
    @ValueSource(ints = {30, 300})
    void isLowWithoutNewCrashes(int size) {
      startFleet(size);
      crashFiveEngines();
      time.advance(10, TimeUnit.SECONDS);
      bytes = 0;
      time.advance(10, TimeUnit.SECONDS);
      assertThat(bytes / 10 / size).isLessThan(500);
    }
  }
}
