package org.clementineford.serving.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.clementineford.serving.model.EngineProfile;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A load at which an engine with old weights becomes free shortly before the bound, gets the
 * waiting requests of all entry VMs at once, and reads their prompts one after the other.
 */
class WaitingRequestsBeginOnOldWeightsTest {
  private static final long BOUND_MS = 8_000;
  private static final int SLOTS = 16;
  private static final int PROMPT_TOKENS = 1_100;

  /** Time for a prompt and a part of the passes between prompts. */
  private static final long PROMPT_MS = 40;

  private static final long REPORT_INTERVAL_MS = 100;
  private static final EngineProfile PROFILE =
      new EngineProfile(
          "m", SLOTS, 1_640_000, 6, 6.73, 0.0219, 0.0068, 30.6, 0.647, 964, 119, Optional.empty());

  private final Random random = new Random(3);
  private final Deque<Run> queue = new ArrayDeque<>();
  private final List<EntryVm> vms = new ArrayList<>();
  private long nowMs;
  private long reports;
  private long busyUntilMs;
  private int begunInTime;
  private int begunLate;

  private static long nanos(long ms) {
    return TimeUnit.MILLISECONDS.toNanos(ms);
  }

  /** A request at the engine, and when its entry VM recalls it. */
  private record Run(EntryVm vm, OptionalLong recallAtMs) {}

  private final class EntryVm {
    private final Placement placement = new Placement("x", random::nextDouble);
    private final MinimumWeightVersion minimumVersion = new MinimumWeightVersion(BOUND_MS);
    private final EndpointState engine = RoutingFixture.state("old", "x");
    private int waiting;

    EntryVm() {
      minimumVersion.addTarget(2, 0);
    }

    private long minimum(EndpointState state) {
      double firstTokenMs =
          EngineLatencyModel.firstTokenAmongOthersMs(PROFILE, state, PROMPT_TOKENS, vms.size());
      return minimumVersion.minimumFor(nanos(nowMs), firstTokenMs);
    }

    void dispatch() {
      while (waiting > 0
          && placement
              .chooseEngine(
                  List.of(engine),
                  Set.of(),
                  PROFILE,
                  PROMPT_TOKENS,
                  this::minimum,
                  true,
                  nanos(nowMs))
              .isPresent()) {
        waiting--;
        engine.sent(PROMPT_TOKENS);
        OptionalLong delay = minimumVersion.recallDelayNanos(1, nanos(nowMs));
        queue.add(
            new Run(
                this,
                delay.isEmpty()
                    ? delay
                    : OptionalLong.of(nowMs + TimeUnit.NANOSECONDS.toMillis(delay.getAsLong()))));
      }
    }

    void ended() {
      engine.prefillEnded(PROMPT_TOKENS);
      engine.ended();
    }
  }

  private void recall() {
    queue.removeIf(
        run -> {
          boolean due = run.recallAtMs().isPresent() && nowMs >= run.recallAtMs().getAsLong();
          if (due) {
            run.vm().ended();
          }
          return due;
        });
  }

  private void beginNext() {
    if (nowMs >= busyUntilMs && !queue.isEmpty()) {
      busyUntilMs = nowMs + PROMPT_MS;
      begunInTime += nowMs <= BOUND_MS ? 1 : 0;
      begunLate += nowMs > BOUND_MS ? 1 : 0;
      queue.poll().vm().ended();
    }
  }

  private void report() {
    reports++;
    int requests = queue.size();
    for (EntryVm vm : vms) {
      vm.engine.reported(
          new EndpointLoad(1, reports, 1, false, requests, 0, 1.0),
          SlotShare.requestsUntilNextReport(
              SLOTS - requests, SLOTS, vms.size(), random::nextDouble));
      vm.dispatch();
    }
  }

  // Guards against requests that an engine with old weights begins after the bound, since they
  // waited there behind those of other entry VMs.
  @ParameterizedTest
  @CsvSource({"6500, 6", "6800, 6", "7000, 5", "7150, 4"})
  void noneBeginsAfterTheBound(long freeAtMs, int waitingPerVm) {
    for (int i = 0; i < 7; i++) {
      vms.add(new EntryVm());
    }
    for (nowMs = freeAtMs; nowMs < BOUND_MS + 2_000; nowMs++) {
      if (nowMs == freeAtMs) {
        vms.forEach(vm -> vm.waiting = waitingPerVm);
      } else if (random.nextInt(100) == 0) {
        vms.get(random.nextInt(vms.size())).waiting++;
      }
      if ((nowMs - freeAtMs) % REPORT_INTERVAL_MS == 0) {
        report();
      }
      recall();
      beginNext();
    }
    assertThat(begunInTime).isGreaterThan(4);
    assertThat(begunLate).isZero();
  }
}
