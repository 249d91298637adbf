package org.clementineford.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.serving.directory.DirectoryEntries;
import org.clementineford.serving.directory.DirectoryEntry;
import org.clementineford.serving.directory.ObjectDirectory;
import org.clementineford.serving.directory.ObjectKind;
import org.clementineford.serving.directory.ObserverDuty;
import org.clementineford.serving.model.Endpoint;
import org.clementineford.serving.model.RoutingConfiguration;
import org.clementineford.serving.model.WeightTarget;
import org.clementineford.testing.VirtualTime;
import org.clementineford.transport.http.HttpRequest;
import org.clementineford.transport.http.HttpResponse;
import org.clementineford.wire.FleetDatagram;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Entry VMs of several data centres that follow their observers, with random faults. */
class ObserverFleetTest {
  private static final VmSettings.Bounds BOUNDS =
      new VmSettings.Bounds(8_000, 5_000, true, 8_000, 0.2, 100, 10, 3_600, 2_000, 2_000, 3_000);

  /** Age of the configuration up to which an entry VM accepts keys. */
  private static final long KEY_AGE_MS = 4_600;

  /** Time within which a VM in touch must use no endpoint that was removed. */
  private static final long DRAIN_MS = 2_000;

  private static final long STEP_MS = 20;

  /**
   * Sizes of objects, and the bandwidth that bounds the answers of a VM.
   *
   * @param linkBytesPerSecond 0 if answers arrive at once
   */
  private record Load(long linkBytesPerSecond, int routes, int endpointFields) {
    private static final Load NONE = new Load(0, 0, 0);

    /** Returns text like that of a platform's object, with names that are drawn at random. */
    private static byte[] content(int parts, Random random) {
      StringBuilder text = new StringBuilder("[");
      for (int i = 0; i < parts; i++) {
        text.append("{\"name\":\"r-").append(Long.toString(random.nextLong(1L << 40), 36));
        text.append("\",\"host\":\"").append(Integer.toString(random.nextInt(1 << 24), 36));
        text.append(".example\",\"route_begins\":\"/").append(random.nextInt(1 << 20));
        text.append("/\",\"repetition\":\"idempotent\",\"timeout_ms\":6000,\"max_attempts\":2},");
      }
      return text.append("]").toString().getBytes(StandardCharsets.UTF_8);
    }
  }

  private static long nanos(long ms) {
    return TimeUnit.MILLISECONDS.toNanos(ms);
  }

  /** One fleet with its faults. */
  private static final class Fleet implements DirectoryDecoder {
    private final long seed;
    private final Random random;
    private final VirtualTime time = new VirtualTime(0);
    private final SimulatedPlatform platform = new SimulatedPlatform(time);
    private final Map<String, Vm> vms = new LinkedHashMap<>();
    private final List<String> hosts = new ArrayList<>();
    private final Map<Long, Long> confirmedAt = new HashMap<>();
    private final Map<String, Long> removedAt = new HashMap<>();
    private final List<String> endpoints = new ArrayList<>();
    private final Load load;

    /** Number of calls to peers that throw before they are sent. */
    private int callsToThrow;

    private long version;
    private int endpointNumber;
    private boolean away;
    private long platformDisturbedUntil;

    Fleet(int size, int dataCentres, long seed) {
      this(size, dataCentres, seed, 12, Load.NONE);
    }

    Fleet(int size, int dataCentres, long seed, int listedEndpoints, Load load) {
      this.seed = seed;
      this.load = load;
      random = new Random(seed);
      write();
      for (int i = 0; i < listedEndpoints; i++) {
        addEndpoint();
      }
      for (int i = 0; i < size; i++) {
        String host = "10." + i % dataCentres + ".0." + i;
        hosts.add(host);
        vms.put(host, new Vm(host, "dc-" + i % dataCentres));
      }
    }

    private void after(long delayMs, Runnable action) {
      time.schedule(action, delayMs, TimeUnit.MILLISECONDS);
    }

    private void write() {
      if (!away) {
        version++;
        byte[] content = Load.content(load.routes(), random);
        platform.put(ObjectKind.CONFIGURATION, "main", content, version);
        confirmedAt.put(version, time.nanoTime());
      }
    }

    private void addEndpoint() {
      if (!away) {
        endpointNumber++;
        endpoints.add("e" + endpointNumber);
        byte[] content = Load.content(load.endpointFields(), random);
        platform.put(ObjectKind.ENDPOINTS, "e" + endpointNumber, content, 0);
      }
    }

    private void removeEndpoint() {
      if (!away && endpoints.size() > 4) {
        String removed = endpoints.remove(random.nextInt(endpoints.size()));
        platform.remove(ObjectKind.ENDPOINTS, removed);
        removedAt.put(removed, time.nanoTime());
      }
    }

    private void outage(long durationMs) {
      if (!away) {
        away = true;
        platform.goDown();
        platformDisturbedUntil = Long.MAX_VALUE;
        after(
            durationMs,
            () -> {
              platform.recover();
              away = false;
              platformDisturbedUntil = time.nanoTime();
            });
      }
    }

    private Vm any() {
      return vms.get(hosts.get(random.nextInt(hosts.size())));
    }

    /** Returns an observer of a random data centre. */
    private Vm anyObserver() {
      List<Vm> observers =
          vms.values().stream().filter(vm -> vm.observers.isObserving() && !vm.stopped).toList();
      return observers.isEmpty() ? any() : observers.get(random.nextInt(observers.size()));
    }

    private void disturb(Vm vm) {
      if (vm.stopped || vm.disturbedUntil == Long.MAX_VALUE) {
        return;
      }
      vm.disturbedUntil = Long.MAX_VALUE;
      long durationMs = 300 + random.nextInt(8_000);
      switch (random.nextInt(5)) {
        case 0 -> vm.stop();
        case 1 -> vm.paused = true;
        case 2 -> vm.client.setCutOff(true);
        case 3 -> vm.sendsNothing = true;
        default -> vm.receivesNothing = true;
      }
      after(durationMs, () -> vms.get(vm.host).recover());
    }

    /** Replaces endpoints while configurations follow each other. */
    void playChanges(long durationMs, long configurationIntervalMs, long endpointIntervalMs) {
      for (long ms = 0; ms < durationMs; ms += STEP_MS) {
        if (ms % configurationIntervalMs < STEP_MS) {
          write();
        }
        if (ms % endpointIntervalMs < STEP_MS) {
          addEndpoint();
          removeEndpoint();
        }
        time.advance(STEP_MS, TimeUnit.MILLISECONDS);
        vms.values().forEach(this::check);
      }
    }

    void play(long durationMs, int faultsPerSecond) {
      for (long ms = 0; ms < durationMs; ms += STEP_MS) {
        if (random.nextInt(1_000) < faultsPerSecond * STEP_MS) {
          switch (random.nextInt(10)) {
            case 0, 1, 2 -> disturb(anyObserver());
            case 3 -> disturb(any());
            case 4 -> outage(200 + random.nextInt(4_000));
            case 5, 6 -> addEndpoint();
            case 7 -> removeEndpoint();
            default -> write();
          }
        }
        time.advance(STEP_MS, TimeUnit.MILLISECONDS);
        vms.values().forEach(this::check);
      }
    }

    private void check(Vm vm) {
      long now = time.nanoTime();
      if (vm.stopped || vm.paused) {
        return;
      }
      long ageNanos = vm.sync.copy(ObjectKind.CONFIGURATION).ageNanos(now);
      boolean inTouch =
          vm.disturbedUntil != Long.MAX_VALUE
              && now - vm.disturbedUntil > nanos(BOUNDS.contactMs())
              && platformDisturbedUntil != Long.MAX_VALUE
              && now - platformDisturbedUntil > nanos(BOUNDS.contactMs());
      confirmedAt.forEach(
          (confirmed, at) -> {
            if (vm.inForce < confirmed) {
              assertThat(ageNanos > nanos(KEY_AGE_MS) || now - at < nanos(5_000))
                  .as("seed %d: %s accepts keys by %d", seed, vm.host, vm.inForce)
                  .isTrue();
              assertThat(inTouch && now - at > nanos(BOUNDS.configurationApplyMs()))
                  .as("seed %d, %d ms: %s has no %d", seed, now / 1_000_000, vm.host, confirmed)
                  .isFalse();
            }
          });
      if (inTouch) {
        assertThat(ageNanos)
            .as("seed %d, %d ms: age at %s", seed, now / 1_000_000, vm.host)
            .isLessThan(nanos(KEY_AGE_MS));
        for (DirectoryEntry entry : vm.sync.copy(ObjectKind.ENDPOINTS).entries()) {
          Long at = removedAt.get(entry.name());
          assertThat(at != null && now - at > nanos(DRAIN_MS))
              .as("seed %d, %d ms: %s uses %s", seed, now / 1_000_000, vm.host, entry.name())
              .isFalse();
        }
      }
    }

    long observers() {
      return watching().size();
    }

    private List<Vm> watching() {
      return vms.values().stream().filter(vm -> vm.observers.isObserving()).toList();
    }

    /** Lets the VMs that observe now receive nothing any more from others. */
    void deafenObservers() {
      for (Vm vm : watching()) {
        vm.receivesNothing = true;
        vm.disturbedUntil = Long.MAX_VALUE;
      }
    }

    /** Cuts the VMs that observe now off from the platform. */
    void cutOffObservers() {
      for (Vm vm : watching()) {
        vm.client.setCutOff(true);
        vm.disturbedUntil = Long.MAX_VALUE;
      }
    }

    @Override
    public RoutingConfiguration configuration(DirectoryEntry entry) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Optional<Endpoint> endpoint(DirectoryEntry entry) {
      return Optional.empty();
    }

    @Override
    public Optional<WeightTarget> weightTarget(DirectoryEntry entry) {
      return Optional.empty();
    }

    @Override
    public Optional<RegisteredEntryVm> entryVm(DirectoryEntry entry) {
      String dataCentre = "dc-" + entry.name().split("\\.")[1];
      return Optional.of(new RegisteredEntryVm(new HostPort(entry.name(), 8_000), dataCentre));
    }

    /** An entry VM. What reaches it while it is paused waits until it goes on. */
    private final class Vm implements Scheduler, ObjectDirectory {
      private final String host;
      private final String dataCentre;
      private final SimulatedPlatform.Client client = platform.new Client();
      private final DirectorySync sync;
      private final DirectoryExchange copies;
      private final ObserverExchange observers;
      private final List<Runnable> waiting = new ArrayList<>();
      private boolean stopped;
      private boolean paused;
      private boolean sendsNothing;
      private boolean receivesNothing;
      private long disturbedUntil;
      private long inForce;
      private long linkFreeAt;

      Vm(String host, String dataCentre) {
        this.host = host;
        this.dataCentre = dataCentre;
        disturbedUntil = time.nanoTime();
        HostPort address = new HostPort(host, 8_000);
        sync = new DirectorySync(this, this, time, 3_600, this::changed, () -> {});
        copies =
            new DirectoryExchange(
                sync,
                this::call,
                this,
                time,
                random::nextDouble,
                address,
                kind -> sync.maxAgeNanos(kind) + nanos(500));
        observers =
            new ObserverExchange(
                sync,
                copies,
                new ObserverDuty(host, random::nextDouble),
                time,
                new VmSettings(
                    host,
                    dataCentre,
                    "region",
                    Map.of(),
                    Optional.empty(),
                    Optional.empty(),
                    address,
                    new HostPort(host, 7_701),
                    List.of(),
                    Optional.empty(),
                    "",
                    address,
                    1,
                    BOUNDS),
                List.of(ObjectKind.CONFIGURATION, ObjectKind.ENDPOINTS),
                random.nextLong(1L << 60),
                this::send);
        hosts.stream().limit(3).forEach(seed -> copies.addPeers(List.of(new HostPort(seed, 8000))));
        sync.start();
        WatchTimes watchTimes = WatchTimes.of(BOUNDS);
        sync.watch(
            ObjectKind.CONFIGURATION,
            watchTimes.configurationMs(),
            watchTimes.configurationPauseMs());
        sync.watch(ObjectKind.ENDPOINTS, watchTimes.endpointsMs(), watchTimes.endpointsPauseMs());
        sync.poll(ObjectKind.ENTRY_VMS, 10_000);
        schedule(() -> sync.refresh(ObjectKind.ENTRY_VMS), 2_000, TimeUnit.MILLISECONDS);
        copies.start();
        observers.start(this);
        client.register(host, address.toString(), dataCentre);
      }

      void stop() {
        stopped = true;
        sync.stop();
      }

      void recover() {
        if (stopped) {
          vms.put(host, new Vm(host, dataCentre));
          return;
        }
        disturbedUntil = time.nanoTime();
        client.setCutOff(false);
        sendsNothing = false;
        receivesNothing = false;
        paused = false;
        List<Runnable> late = List.copyOf(waiting);
        waiting.clear();
        late.forEach(Runnable::run);
      }

      private void changed(ObjectKind kind) {
        observers.copyChanged();
        if (kind == ObjectKind.CONFIGURATION) {
          for (DirectoryEntry entry : sync.copy(kind).entries()) {
            inForce = Math.max(inForce, entry.operatorVersion());
          }
        } else if (kind == ObjectKind.ENTRY_VMS) {
          copies.addEntryVms(sync.copy(kind).entries(), Fleet.this);
          observers.addEntryVms(sync.copy(kind).entries(), Fleet.this);
        }
      }

      private void deliver(Runnable command) {
        if (paused) {
          waiting.add(command);
        } else if (!stopped) {
          command.run();
        }
      }

      private void send(HostPort receiver, FleetDatagram datagram) {
        Vm vm = vms.get(receiver.host());
        if (vm == null || sendsNothing || vm.receivesNothing || random.nextInt(100) == 0) {
          return;
        }
        after(2, () -> vm.deliver(() -> vm.received(new HostPort(host, 7_701), datagram)));
      }

      private void received(HostPort sender, FleetDatagram datagram) {
        if (datagram.isSetPositionsRequest()) {
          observers.onRequest(sender, datagram.getPositionsRequest());
        } else {
          observers.onPositions(sender, datagram.getPositions());
        }
      }

      private CompletableFuture<HttpResponse> call(HostPort peer, HttpRequest request, long ms) {
        if (callsToThrow > 0) {
          callsToThrow--;
          throw new IllegalStateException("cannot be sent");
        }
        CompletableFuture<HttpResponse> future = new CompletableFuture<>();
        Vm vm = vms.get(peer.host());
        boolean cut = sendsNothing || receivesNothing || vm.sendsNothing || vm.receivesNothing;
        if (cut || vm.stopped) {
          after(ms, () -> deliver(() -> future.completeExceptionally(new Exception("silent"))));
        } else {
          after(ms, () -> deliver(() -> future.completeExceptionally(new Exception("timeout"))));
          after(3, () -> vm.deliver(() -> vm.answer(this, request, future)));
        }
        return future;
      }

      /** Answers over this VM's link, which sends one answer after the other. */
      private void answer(Vm peer, HttpRequest request, CompletableFuture<HttpResponse> future) {
        byte[] body = copies.copiesFor(request);
        HttpResponse response = new HttpResponse(200, Map.of(), body);
        if (load.linkBytesPerSecond() == 0) {
          after(3, () -> peer.deliver(() -> future.complete(response)));
          return;
        }
        long now = time.nanoTime();
        long startsAt = Math.max(now, linkFreeAt);
        long sendingNanos = nanos(1_000) * body.length / load.linkBytesPerSecond();
        linkFreeAt = startsAt + sendingNanos;
        Runnable arrive = () -> peer.deliver(() -> future.complete(response));
        time.schedule(arrive, linkFreeAt + nanos(3) - now, TimeUnit.NANOSECONDS);
      }

      private <T> CompletableFuture<T> buffered(CompletableFuture<T> answer) {
        CompletableFuture<T> future = new CompletableFuture<>();
        answer.whenComplete(
            (value, failure) ->
                deliver(
                    () -> {
                      if (failure == null) {
                        future.complete(value);
                      } else {
                        future.completeExceptionally(failure);
                      }
                    }));
        return future;
      }

      @Override
      public CompletableFuture<DirectoryEntries> list(ObjectKind kind, boolean current) {
        return buffered(client.list(kind, current));
      }

      @Override
      public CompletableFuture<DirectoryEntries> watch(
          ObjectKind kind, long revision, long waitMs) {
        return buffered(client.watch(kind, revision, waitMs));
      }

      @Override
      public CompletableFuture<Void> register(String name, String address, String dataCentre) {
        return client.register(name, address, dataCentre);
      }

      @Override
      public Cancellable schedule(Runnable command, long delay, TimeUnit unit) {
        return time.schedule(() -> deliver(command), delay, unit);
      }

      @Override
      public Cancellable scheduleWithFixedDelay(Runnable command, long interval, TimeUnit unit) {
        return time.scheduleWithFixedDelay(() -> deliver(command), interval, unit);
      }
    }
  }

  // Guards against configurations, removed keys and endpoints that left which reach followers late
  // while their observers are stopped, paused or cut off, also in one direction.
  @ParameterizedTest
  @CsvSource({"9, 3, 10", "40, 3, 6", "100, 7, 2"})
  void followersAreCurrentWhateverHappensToObservers(int size, int dataCentres, int runs) {
    for (long seed = 1; seed <= runs; seed++) {
      Fleet fleet = new Fleet(size, dataCentres, seed);
      fleet.play(6_000, 0);
      fleet.play(40_000, 3);
      fleet.play(20_000, 0);
      assertThat(fleet.observers())
          .as("seed %d", seed)
          .isBetween(2L * dataCentres, 3L * dataCentres);
    }
  }

  // Guards against calls for copies to VMs that announce but do not answer, in place of others.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void followersAreCurrentBesideVmsThatAreOnlyHeard(long seed) {
    Fleet fleet = new Fleet(10, 1, seed);
    fleet.play(6_000, 0);
    fleet.deafenObservers();
    fleet.play(3_000, 0);
    fleet.playChanges(20_000, 700, 900);
  }

  // Guards against observers that cannot reach the platform and are followed until their copies are
  // overdue.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void followersAreCurrentWhileTheirObserversCannotReachThePlatform(long seed) {
    Fleet fleet = new Fleet(10, 1, seed);
    fleet.play(6_000, 0);
    fleet.cutOffObservers();
    fleet.playChanges(20_000, 700, 900);
  }

  // Guards against a call that could not be sent and stays pending.
  @Test
  void followersCallAgainAfterCallsThatThrow() {
    Fleet fleet = new Fleet(10, 1, 1);
    fleet.play(6_000, 0);
    fleet.callsToThrow = 40;
    fleet.playChanges(10_000, 700, 900);
    assertThat(fleet.callsToThrow).isZero();
  }

  /** Many changes of large objects, over links that bound how soon copies arrive. */
  @Nested
  class BusyLinks {
    private void playChanges(long linkBytesPerSecond, long seed) {
      Fleet fleet = new Fleet(57, 3, seed, 52, new Load(linkBytesPerSecond, 800, 3));
      fleet.play(6_000, 0);
      fleet.playChanges(8_000, 250, 150);
      fleet.play(5_000, 0);
    }

    // Guards against endpoints that leave unnoticed since whole copies fill the observers' links.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void followersAreCurrentWhileConfigurationsFollowEachOther(long seed) {
      playChanges(3_500_000, seed);
    }

    // Guards against calls for copies that pile up on a link, so that all of them time out.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void followersAreCurrentOverLinksThatCarryFewCopies(long seed) {
      playChanges(800_000, seed);
    }
  }

  // Guards against calls to the platform that grow with the entry VMs.
  @Test
  void callsDependOnTheDataCentresAndNotOnTheVms() {
    List<Integer> calls = new ArrayList<>();
    for (int size : List.of(30, 120)) {
      Fleet fleet = new Fleet(size, 3, 1);
      fleet.play(10_000, 0);
      int before = fleet.platform.calls();
      fleet.play(20_000, 0);
      calls.add(fleet.platform.calls() - before);
    }
    // Both kinds at two observers of three data centres, and one listing of entry VMs in 10 s.
    assertThat(calls.get(0)).isLessThan(6 * (20 + 8) + 30 * 3);
    assertThat(calls.get(1)).isLessThan(6 * (20 + 8) + 120 * 3);
  }
}
