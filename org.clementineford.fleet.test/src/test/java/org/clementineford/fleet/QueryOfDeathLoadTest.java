package org.clementineford.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.serving.quarantine.RequestQuarantine;
import org.clementineford.serving.quarantine.Suspect;
import org.clementineford.testing.VirtualTime;
import org.clementineford.wire.FleetDatagram;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A load with queries of death on a fleet whose VMs restart, are cut off and load weights. */
class QueryOfDeathLoadTest {
  private static final long CONTACT_MS = 3_000;
  private static final long TICK_MS = 10;
  private static final long DURATION_MS = 30_000;
  private static final double LOSS = 0.02;
  private static final int SUBJECTS = 300;

  /** What bad requests have in common, and the crashes after which they must be held back. */
  private enum Cause {
    PROMPT_PART(5),
    REPEATED_REQUEST(3);

    private final int crashes;

    Cause(int crashes) {
      this.crashes = crashes;
    }

    List<Suspect> suspects(String first, String subject, boolean bad) {
      List<Suspect> suspects = new ArrayList<>();
      if (this == REPEATED_REQUEST) {
        suspects.add(Suspect.request("pool", "target", bad ? "bad" : subject));
      }
      suspects.addAll(Suspect.parts("pool", List.of(first, subject)));
      if (bad && this == PROMPT_PART) {
        suspects.addAll(Suspect.parts("pool", List.of("bad")));
      }
      return suspects;
    }
  }

  private final VirtualTime time = new VirtualTime(0);
  private final Random random = new Random(11);
  private final List<EntryVm> entryVms = new ArrayList<>();
  private final List<Engine> engines = new ArrayList<>();
  private int requestNumber;
  private Cause cause;
  private int countedCrashes;
  private long lastAllowedCrashAt = Long.MAX_VALUE / 2;
  private int badRequestsAfterBound;
  private int soundRequests;
  private int soundRefused;

  private long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(time.nanoTime());
  }

  private final class EntryVm {
    private final HostPort address;
    private RequestQuarantine quarantine;
    private QuarantineExchange exchange;
    private long cutOffUntilMs;
    private long disturbedAtMs = -CONTACT_MS;

    EntryVm(int index) {
      address = new HostPort("10.0." + index / 200 + "." + index % 200, 7700);
      restart();
    }

    void restart() {
      RequestQuarantine started = new RequestQuarantine(time);
      QuarantineExchange[] self = new QuarantineExchange[1];
      self[0] =
          new QuarantineExchange(
              started,
              () -> entryVms.stream().map(vm -> vm.address).toList(),
              (member, datagram) -> {
                if (exchange == self[0]) {
                  send(member, datagram);
                }
              },
              time,
              random::nextDouble,
              () -> {});
      self[0].start(time);
      quarantine = started;
      exchange = self[0];
    }

    /** Returns whether the VM has run and reached all others for long enough to be up to date. */
    boolean isInTouch() {
      return nowMs() - Math.max(disturbedAtMs, cutOffUntilMs) >= CONTACT_MS;
    }

    boolean isCutOff() {
      return nowMs() < cutOffUntilMs;
    }

    private void send(HostPort member, FleetDatagram datagram) {
      EntryVm receiver =
          entryVms.stream().filter(vm -> vm.address.equals(member)).findFirst().orElseThrow();
      if (random.nextDouble() >= LOSS && !isCutOff() && !receiver.isCutOff()) {
        time.schedule(
            () -> receiver.exchange.onMessage(address, datagram.getSuspects()),
            3,
            TimeUnit.MILLISECONDS);
      }
    }

    void send(Request request, int attempt) {
      if (quarantine.quarantinedSuspect(request.suspects).isPresent()) {
        soundRefused +=
            !request.bad && attempt == 1 && nowMs() > lastAllowedCrashAt + 2 * CONTACT_MS ? 1 : 0;
        return;
      }
      List<Engine> free = engines.stream().filter(engine -> engine.acceptsRequests()).toList();
      if (free.isEmpty()) {
        return;
      }
      if (request.bad && isInTouch() && nowMs() > lastAllowedCrashAt + CONTACT_MS) {
        badRequestsAfterBound++;
      }
      free.get(random.nextInt(free.size())).receive(request, this, attempt);
    }
  }

  private record Request(String id, List<Suspect> suspects, boolean bad) {}

  private record Held(Request request, EntryVm sender, int attempt, long beginsAt, long endsAt) {}

  private final class Engine {
    private final String name;
    private final List<Held> held = new ArrayList<>();
    private int incarnation;
    private long availableAtMs;

    Engine(int index) {
      name = "e" + index;
    }

    boolean acceptsRequests() {
      return nowMs() >= availableAtMs && held.size() < 16;
    }

    void receive(Request request, EntryVm sender, int attempt) {
      long beginsAt = nowMs() + 50 + random.nextInt(400);
      held.add(new Held(request, sender, attempt, beginsAt, beginsAt + 800));
    }

    void advance() {
      long now = nowMs();
      for (Held each : List.copyOf(held)) {
        if (now >= each.beginsAt && each.request.bad) {
          crash(true);
          return;
        }
        if (now >= each.endsAt) {
          held.remove(each);
          each.sender.quarantine.answered(each.request.suspects);
        }
      }
    }

    void crash(boolean byBadRequest) {
      // Prompt parts are judged from the fifth crash of any engine on, which is earlier.
      countedCrashes += byBadRequest || cause == Cause.PROMPT_PART ? 1 : 0;
      if (countedCrashes == cause.crashes) {
        lastAllowedCrashAt = Math.min(lastAllowedCrashAt, nowMs());
      }
      List<Held> lost = List.copyOf(held);
      held.clear();
      String crashed = name + "@" + incarnation++;
      availableAtMs = nowMs() + 4_000 + random.nextInt(2_000);
      for (Held each : lost) {
        if (nowMs() - each.beginsAt < 400) {
          each.sender.quarantine.interrupted(crashed, each.request.id, each.request.suspects);
        }
      }
      time.schedule(
          () -> lost.forEach(each -> each.sender.quarantine.crashed(crashed)),
          2,
          TimeUnit.MILLISECONDS);
      for (Held each : lost) {
        if (each.attempt < 2 && !each.sender.quarantine.isSuspect(each.request.suspects)) {
          each.sender.send(each.request, each.attempt + 1);
        }
      }
    }
  }

  private void arrive(boolean bad) {
    // Low subjects are the most frequent ones; two routes have a first part each.
    int subject = (int) (SUBJECTS * Math.pow(random.nextDouble(), 3));
    String first = "route" + subject % 2;
    EntryVm vm = entryVms.get(random.nextInt(entryVms.size()));
    if (!bad && nowMs() > lastAllowedCrashAt + 2 * CONTACT_MS) {
      soundRequests++;
    }
    vm.send(new Request("r" + requestNumber++, cause.suspects(first, "s" + subject, bad), bad), 1);
  }

  private void disturb() {
    if (random.nextInt(100) == 0) {
      EntryVm vm = entryVms.get(random.nextInt(entryVms.size()));
      vm.restart();
      vm.disturbedAtMs = nowMs();
    }
    if (random.nextInt(100) == 0) {
      entryVms.get(random.nextInt(entryVms.size())).cutOffUntilMs =
          nowMs() + 1_000 + random.nextInt(3_000);
    }
    Engine engine = engines.get(random.nextInt(engines.size()));
    if (random.nextInt(200) == 0 && engine.acceptsRequests()) {
      engine.crash(false);
    }
    if (random.nextInt(50) == 0) {
      // A rollout takes an engine out of service while it loads other weights.
      engine.availableAtMs = Math.max(engine.availableAtMs, nowMs() + 1_500);
    }
  }

  // Guards against a fleet that goes on crashing engines, or refuses sound requests instead.
  @ParameterizedTest
  @CsvSource({
    "7, PROMPT_PART", "30, PROMPT_PART", "100, PROMPT_PART",
    "7, REPEATED_REQUEST", "30, REPEATED_REQUEST", "100, REPEATED_REQUEST"
  })
  void crashesFewEnginesAndServesSoundRequests(int size, Cause badRequests) {
    cause = badRequests;
    for (int i = 0; i < size; i++) {
      entryVms.add(new EntryVm(i));
    }
    for (int i = 0; i < 3 * size; i++) {
      engines.add(new Engine(i));
    }
    while (nowMs() < DURATION_MS) {
      for (int i = 0; i < size / 4 + 1; i++) {
        arrive(false);
      }
      if (random.nextInt(15) == 0) {
        arrive(true);
      }
      disturb();
      engines.forEach(Engine::advance);
      time.advance(TICK_MS, TimeUnit.MILLISECONDS);
    }
    assertThat(countedCrashes).isGreaterThanOrEqualTo(cause.crashes);
    assertThat(badRequestsAfterBound).isLessThanOrEqualTo(3);
    assertThat(soundRequests).isGreaterThan(1_000);
    assertThat(soundRefused).isLessThan(soundRequests / 2);
  }
}
