package org.clementineford.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.serving.directory.DirectoryCopyState;
import org.clementineford.serving.directory.DirectoryEntry;
import org.clementineford.serving.directory.ObjectKind;
import org.clementineford.testing.VirtualTime;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Entry VMs that share copies of a platform that is restored from copies, with random faults. */
class RestoredPlatformFleetTest {
  private static final ObjectKind KIND = ObjectKind.CONFIGURATION;

  /** Time after which no key that was removed by a confirmed configuration may be accepted. */
  private static final long REVOCATION_MS = 5_000;

  /** Age of the configuration up to which an entry VM accepts keys. */
  private static final long KEY_AGE_MS = 4_600;

  private static final long APPLY_MS = 2_000;

  /** Longest time from a restoration until the operators have written what was lost. */
  private static final int WRITTEN_AGAIN_MS = 1_500;

  private static final long STEP_MS = 20;
  private static final long PLAY_MS = 60_000;
  private static final int RUNS = 40;

  /** One fleet with its faults. */
  private static final class Fleet {
    private final long seed;
    private final Random random;
    private final VirtualTime time = new VirtualTime(0);
    private final SimulatedPlatform platform = new SimulatedPlatform(time);
    private final Map<HostPort, Vm> vms = new HashMap<>();
    private final List<HostPort> addresses = new ArrayList<>();
    private final Map<Long, Long> confirmedAt = new HashMap<>();
    private long version;
    private boolean away;

    Fleet(int size, long seed) {
      this.seed = seed;
      random = new Random(seed);
      write();
      for (int i = 0; i < size; i++) {
        HostPort address = new HostPort("10.0.0." + i, 8_000);
        addresses.add(address);
        vms.put(address, new Vm(address));
      }
    }

    private void after(long delayMs, Runnable action) {
      time.schedule(action, delayMs, TimeUnit.MILLISECONDS);
    }

    /** Writes a new configuration; it is confirmed unless the platform is away. */
    private void write() {
      if (!away) {
        version += 1 + random.nextInt(3);
        platform.put(KIND, "main", version);
        confirmedAt.put(version, time.nanoTime());
      }
    }

    /** Lets the platform go away and come back from a copy some seconds old. */
    private void restore(List<SimulatedPlatform.Copy> copies) {
      if (away) {
        return;
      }
      away = true;
      final SimulatedPlatform.Copy copy =
          copies.get(Math.max(0, copies.size() - 1 - random.nextInt(9)));
      platform.goDown();
      after(
          random.nextInt(3_000),
          () -> {
            platform.restore(copy);
            after(
                random.nextInt(WRITTEN_AGAIN_MS),
                () -> {
                  away = false;
                  platform.put(KIND, "main", version);
                });
          });
    }

    private Vm any() {
      return vms.get(addresses.get(random.nextInt(addresses.size())));
    }

    private void restart(Vm vm) {
      if (vm.stopped) {
        return;
      }
      vm.stop();
      after(500 + random.nextInt(2_000), () -> vms.put(vm.address, new Vm(vm.address)));
    }

    private void cutOff(Vm vm) {
      vm.client.setCutOff(true);
      vm.cutOffFromPeers = random.nextBoolean();
      after(
          random.nextInt(8_000),
          () -> {
            vm.client.setCutOff(false);
            vm.cutOffFromPeers = false;
          });
    }

    private void slowDown(Vm vm) {
      vm.client.setAnswerMs(4 + random.nextInt(900));
      after(random.nextInt(4_000), () -> vm.client.setAnswerMs(4));
    }

    void play() {
      List<SimulatedPlatform.Copy> copies = new ArrayList<>();
      for (long ms = 0; ms < PLAY_MS; ms += STEP_MS) {
        if (!away && ms % 1_000 == 0) {
          copies.add(platform.copy());
        }
        if (ms > 5_000 && ms < PLAY_MS - 20_000 && random.nextInt(12) == 0) {
          switch (random.nextInt(12)) {
            case 0 -> restore(copies);
            case 1, 2 -> restart(any());
            case 3, 4 -> cutOff(any());
            case 5, 6 -> slowDown(any());
            default -> write();
          }
        }
        time.advance(STEP_MS, TimeUnit.MILLISECONDS);
        vms.values().forEach(this::check);
      }
    }

    private void check(Vm vm) {
      long now = time.nanoTime();
      if (vm.stopped || vm.copy().ageNanos(now) > TimeUnit.MILLISECONDS.toNanos(KEY_AGE_MS)) {
        return;
      }
      confirmedAt.forEach(
          (confirmed, at) ->
              assertThat(
                      vm.inForce >= confirmed
                          || now - at < TimeUnit.MILLISECONDS.toNanos(REVOCATION_MS))
                  .as(
                      "seed %d: %s accepts keys by %d after %d",
                      seed, vm.address, vm.inForce, confirmed)
                  .isTrue());
    }

    /** An entry VM's copy of the configuration. */
    private final class Vm implements Scheduler {
      private final HostPort address;
      private final SimulatedPlatform.Client client = platform.new Client();
      private final DirectorySync sync;
      private final DirectoryExchange exchange;
      private boolean cutOffFromPeers;
      private boolean stopped;
      private long inForce;

      Vm(HostPort address) {
        this.address = address;
        sync = new DirectorySync(client, this, time, 3_600, kind -> configure(), () -> {});
        exchange =
            new DirectoryExchange(
                sync,
                this::call,
                this,
                time,
                random::nextDouble,
                address,
                kind -> TimeUnit.SECONDS.toNanos(3));
        exchange.addPeers(addresses);
        sync.start();
        sync.watch(KIND, 1_000, 0);
        exchange.start();
        exchange.requestStaleCopies();
      }

      void stop() {
        stopped = true;
        sync.stop();
      }

      DirectoryCopyState copy() {
        return sync.copy(KIND);
      }

      private void configure() {
        for (DirectoryEntry entry : copy().entries()) {
          inForce = Math.max(inForce, entry.operatorVersion());
        }
      }

      private CompletableFuture<HttpResponse> call(HostPort peer, HttpRequest request, long ms) {
        CompletableFuture<HttpResponse> future = new CompletableFuture<>();
        after(
            3,
            () -> {
              Vm vm = vms.get(peer);
              if (vm.stopped || vm.cutOffFromPeers || cutOffFromPeers) {
                future.completeExceptionally(new IllegalStateException("peer not reached"));
              } else {
                byte[] body = vm.exchange.copiesFor(request);
                after(3, () -> future.complete(new HttpResponse(200, Map.of(), body)));
              }
            });
        return future;
      }

      @Override
      public Cancellable schedule(Runnable command, long delay, TimeUnit unit) {
        return time.schedule(() -> runUnlessStopped(command), delay, unit);
      }

      @Override
      public Cancellable scheduleWithFixedDelay(Runnable command, long interval, TimeUnit unit) {
        return time.scheduleWithFixedDelay(() -> runUnlessStopped(command), interval, unit);
      }

      private void runUnlessStopped(Runnable command) {
        if (!stopped) {
          command.run();
        }
      }
    }
  }

  // Guards against VMs that accept removed keys, or stay with an old configuration, after any
  // sequence of restorations, restarts, cuts and slow answers.
  @ParameterizedTest
  @ValueSource(ints = {2, 7, 30})
  void removedKeysAreRefusedAndTheNewestConfigurationReachesAllVms(int size) {
    for (long seed = 1; seed <= RUNS; seed++) {
      Fleet fleet = new Fleet(size, seed);
      fleet.play();
      fleet.write();
      fleet.time.advance(APPLY_MS, TimeUnit.MILLISECONDS);
      for (Fleet.Vm vm : fleet.vms.values()) {
        assertThat(vm.inForce).as("seed %d, %s", seed, vm.address).isEqualTo(fleet.version);
      }
      int callsBefore = fleet.platform.calls();
      fleet.time.advance(10, TimeUnit.SECONDS);
      assertThat(fleet.platform.calls() - callsBefore)
          .as("seed %d", seed)
          .isLessThanOrEqualTo(11 * size);
    }
  }
}
