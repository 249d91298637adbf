package org.clementineford.soak;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.errors.ClementinefordException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A series of faults that overlap, drawn from a seed. */
final class FaultSeries {
  private static final Logger LOG = LoggerFactory.getLogger(FaultSeries.class);

  private static final int FEWEST = 6;
  private static final int MOST = 16;

  /** Shortest and longest time of a fault, in milliseconds. */
  private static final int SHORTEST_MS = 200;

  private static final int LONGEST_MS = 5_000;

  private static final int MOST_RESTORATIONS = 2;

  /** Longest time until the stops of a fault begin or go on, in milliseconds. */
  private static final int LONGEST_STOP_DELAY_MS = 2_500;

  private static final List<FaultKind> DRAWN_APART =
      List.of(FaultKind.STORE_RESTORED, FaultKind.STOP_SERIES, FaultKind.SIGNALS);

  /** Longest time for which the store is away before it is restored, in milliseconds. */
  private static final int LONGEST_OUTAGE_MS = 2_500;

  private final NanoClock clock;
  private final EpochClock wallClock;
  private final List<Planned> plan = new ArrayList<>();
  private final List<Period> periods = new ArrayList<>();

  private record Planned(FaultKind kind, long atMs, long forMs, long seed) {}

  /**
   * A fault that was played.
   *
   * @param kind kind of the fault
   * @param target what it concerned
   * @param from when it began, in monotonic nanoseconds
   * @param until when it ended, in monotonic nanoseconds
   */
  record Period(FaultKind kind, String target, long from, long until) {
    boolean overlaps(long begin, long end) {
      return from - end < 0 && begin - until < 0;
    }
  }

  FaultSeries(long seed, long durationMs, NanoClock clock, EpochClock wallClock) {
    this.clock = clock;
    this.wallClock = wallClock;
    Random random = new Random(seed);
    int count = FEWEST + random.nextInt(MOST - FEWEST + 1);
    List<FaultKind> kinds = new ArrayList<>(List.of(FaultKind.values()));
    kinds.removeAll(DRAWN_APART);
    for (int i = 0; i < count; i++) {
      add(random, durationMs, LONGEST_MS, () -> kinds.get(random.nextInt(kinds.size())));
    }
    // Drawn apart, so that the other faults of a seed stay the same.
    Random restorations = new Random(~seed);
    for (int i = restorations.nextInt(MOST_RESTORATIONS + 1); i > 0; i--) {
      add(restorations, durationMs, LONGEST_OUTAGE_MS, () -> FaultKind.STORE_RESTORED);
    }
    Random stops = new Random(Long.reverse(seed));
    add(stops, durationMs, LONGEST_STOP_DELAY_MS, () -> FaultKind.STOP_SERIES);
    if (stops.nextBoolean()) {
      add(stops, durationMs, LONGEST_STOP_DELAY_MS, () -> FaultKind.SIGNALS);
    }
    plan.sort(Comparator.comparingLong(Planned::atMs));
  }

  private void add(Random random, long durationMs, int longestMs, Supplier<FaultKind> kind) {
    long forMs = SHORTEST_MS + random.nextInt(longestMs - SHORTEST_MS);
    long atMs = (long) (random.nextDouble() * (durationMs - forMs));
    plan.add(new Planned(kind.get(), atMs, forMs, random.nextLong()));
  }

  /** Plays the series and returns when the last fault has ended. */
  void play(SoakFleet fleet) throws ClementinefordException, InterruptedException {
    long begun = clock.nanoTime();
    List<Thread> threads = new ArrayList<>();
    for (Planned planned : plan) {
      sleepUntil(begun, planned.atMs());
      long from = clock.nanoTime();
      FaultKind.Fault fault = planned.kind().begin(fleet, new Random(planned.seed()));
      Thread thread = new Thread(() -> heal(planned, fault, begun, from), "heal");
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    for (Program program : fleet.programs()) {
      program.resume();
      program.start();
    }
  }

  private void heal(Planned planned, FaultKind.Fault fault, long begun, long from) {
    try {
      sleepUntil(begun, planned.atMs() + planned.forMs());
      fault.heal().run();
    } catch (ClementinefordException e) {
      LOG.atError().addKeyValue("kind", planned.kind()).log("fault not ended", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    synchronized (periods) {
      periods.add(new Period(planned.kind(), fault.target(), from, clock.nanoTime()));
    }
  }

  private void sleepUntil(long begun, long afterMs) throws InterruptedException {
    long leftNanos = begun + TimeUnit.MILLISECONDS.toNanos(afterMs) - clock.nanoTime();
    if (leftNanos > 0) {
      TimeUnit.NANOSECONDS.sleep(leftNanos);
    }
  }

  /** Returns a line for each fault that has ended, with its time by the wall clock. */
  List<String> describe() {
    return periods().stream()
        .map(
            period ->
                wallTime(period.from())
                    + " to "
                    + wallTime(period.until())
                    + "  "
                    + period.kind()
                    + "  "
                    + period.target())
        .toList();
  }

  private Instant wallTime(long nanos) {
    long agoMs = TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - nanos);
    return Instant.ofEpochMilli(wallClock.time() - agoMs);
  }

  /** Returns the faults that have ended. */
  List<Period> periods() {
    synchronized (periods) {
      return List.copyOf(periods);
    }
  }
}
