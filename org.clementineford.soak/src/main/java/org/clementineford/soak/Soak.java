package org.clementineford.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Plays one seed: a fleet, callers, a series of faults, and some time to recover. */
public final class Soak {
  private static final Logger LOG = LoggerFactory.getLogger(Soak.class);

  /** Key that is removed during the faults. */
  private static final String REMOVED_KEY = Callers.KEYS.get(Callers.KEYS.size() - 1);

  private static final long START_MS = 30_000;

  /** Further time to start for each VM, in milliseconds. */
  private static final long START_PER_VM_MS = 1_000;

  private static final long FAULTS_MS = 15_000;

  /** Time to recover, as the platform states it for its deployments. */
  private static final long RECOVERY_MS = 12_000;

  private static final long RECOVERED_MS = 3_000;
  private static final long CHECK_MS = 1_000;

  private final long seed;
  private final int block;
  private final FleetSize size;
  private final Path directory;
  private final NanoClock clock;
  private final EpochClock wallClock;

  /**
   * What came out.
   *
   * @param seed the seed
   * @param requests requests that ended
   * @param served requests that were served
   * @param broken one sentence for each broken promise
   * @param atStopEnd one sentence for each request that was sent early in a stop and was still
   *     running at its end, which breaks no promise
   */
  public record Result(
      long seed, int requests, int served, List<String> broken, List<String> atStopEnd) {}

  /**
   * Creates a run.
   *
   * @param seed decides on faults and callers
   * @param block number from 1 to 250 of the loopback addresses to use, one for each run at a time
   * @param size numbers of VMs
   * @param directory where logs and settings are written
   * @param clock monotonic clock
   * @param wallClock clock of what is written to files
   */
  public Soak(
      long seed, int block, FleetSize size, Path directory, NanoClock clock, EpochClock wallClock) {
    this.seed = seed;
    this.block = block;
    this.size = size;
    this.directory = directory;
    this.clock = clock;
    this.wallClock = wallClock;
  }

  /**
   * Plays the seed.
   *
   * @return what came out
   * @throws ClementinefordException if the fleet could not be started
   * @throws InterruptedException if the thread was interrupted
   */
  public Result call() throws ClementinefordException, InterruptedException {
    try {
      Files.createDirectories(directory);
    } catch (IOException e) {
      throw new ClementinefordException(
          ErrorKind.LOCAL_RESOURCE, "cannot create " + directory + "; give another one", e);
    }
    try (SoakFleet fleet = new SoakFleet(block, size, directory, seed, clock, wallClock)) {
      StandInLateness lateness = new StandInLateness(clock, wallClock);
      lateness.record(fleet.eventLoops());
      fleet.start(START_MS + size.vms() * START_PER_VM_MS);
      try (Callers callers = new Callers(fleet, seed, clock)) {
        return play(fleet, callers);
      } finally {
        write("late.txt", lateness.describe());
      }
    }
  }

  private Result play(SoakFleet fleet, Callers callers)
      throws ClementinefordException, InterruptedException {
    Promises promises = new Promises(fleet, callers);
    FaultSeries series = new FaultSeries(seed, FAULTS_MS, clock, wallClock);
    KeyRemoval removal = new KeyRemoval(fleet);
    Watch watch = new Watch(promises, removal);
    watch.start();
    removal.schedule((long) (new Random(seed).nextDouble() * FAULTS_MS));
    series.play(fleet);
    Thread.sleep(RECOVERY_MS);
    final long recoveredAt = clock.nanoTime();
    Thread.sleep(RECOVERED_MS);
    callers.stop();
    callers.awaitEnds();
    watch.end();
    write("faults.txt", series.describe());
    List<String> broken = new ArrayList<>(promises.check(REMOVED_KEY, removal.acknowledgedAt));
    LostRequests.Findings lost = new LostRequests(fleet, callers).find(series.periods());
    broken.addAll(lost.broken());
    broken.addAll(promises.checkRecovered(REMOVED_KEY, recoveredAt));
    broken.addAll(new RequestCounts(fleet, clock).check());
    broken.addAll(new StopLines(fleet).check());
    watch.broken.stream().filter(text -> !broken.contains(text)).forEach(broken::add);
    List<CallerRecord> records = callers.records();
    int served = (int) records.stream().filter(CallerRecord::isServed).count();
    return new Result(seed, records.size(), served, broken, lost.atStopEnd());
  }

  /** Writes what was played beside the logs, which tell what came of it. */
  private void write(String name, List<String> lines) throws ClementinefordException {
    Path file = directory.resolve(name);
    try {
      Files.write(file, lines);
    } catch (IOException e) {
      throw new ClementinefordException(
          ErrorKind.LOCAL_RESOURCE, "cannot write " + file + "; check the directory", e);
    }
  }

  /** Removes a key at some time. */
  private static final class KeyRemoval {
    private final SoakFleet fleet;
    private volatile long acknowledgedAt;

    KeyRemoval(SoakFleet fleet) {
      this.fleet = fleet;
    }

    void schedule(long afterMs) {
      fleet
          .eventLoops()
          .schedule(
              () -> {
                acknowledgedAt = fleet.removeKey(REMOVED_KEY);
              },
              afterMs,
              TimeUnit.MILLISECONDS);
    }
  }

  /** Checks the promises while faults go on. */
  private static final class Watch extends Thread {
    private final Promises promises;
    private final KeyRemoval removal;
    private final List<String> broken = new ArrayList<>();

    Watch(Promises promises, KeyRemoval removal) {
      super("promises");
      this.promises = promises;
      this.removal = removal;
    }

    @Override
    public void run() {
      try {
        while (true) {
          Thread.sleep(CHECK_MS);
          for (String text : promises.check(REMOVED_KEY, removal.acknowledgedAt)) {
            if (!broken.contains(text)) {
              LOG.atError().addKeyValue("promise", text).log("promise broken");
              broken.add(text);
            }
          }
        }
      } catch (InterruptedException e) {
        LOG.debug("no further checks");
      }
    }

    void end() throws InterruptedException {
      interrupt();
      join();
    }
  }
}
