package org.clementineford.soak;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;
import org.clementineford.kernel.settings.Settings;

/** Entry point of {@code bin/soak}. */
public final class Main {
  /** Most runs at a time; each has its own processes and loopback addresses. */
  private static final int MOST_PARALLEL = 8;

  /** Most VMs of a run; each has a process. */
  private static final int MOST_VMS = 200;

  /** Memory of a process, in bytes. */
  private static final long PROCESS_BYTES = 200L << 20;

  private static final Setting<Long> FIRST_SEED =
      new Setting<>(
          "first-seed",
          "First seed; 0 takes one from the clock.",
          "0",
          SettingParser.wholeNumber(0, Long.MAX_VALUE));

  private static final Setting<Long> SEEDS =
      new Setting<>("seeds", "Number of seeds.", "50", SettingParser.wholeNumber(1, 10_000));

  private static final Setting<Long> PARALLEL =
      new Setting<>(
          "parallel", "Runs at a time.", "3", SettingParser.wholeNumber(1, MOST_PARALLEL));

  private static final Setting<Long> VMS =
      new Setting<>(
          "vms",
          "VMs of a run; two of five are entry VMs.",
          Integer.toString(FleetSize.FEWEST),
          SettingParser.wholeNumber(FleetSize.FEWEST, MOST_VMS));

  private static final Setting<String> DIRECTORY =
      new Setting<>(
          "directory", "Where logs and settings are written.", "run/soak", SettingParser.text());

  private static final List<Setting<?>> SETTINGS =
      List.of(FIRST_SEED, SEEDS, PARALLEL, VMS, DIRECTORY);

  private Main() {}

  /**
   * Plays seeds and prints what came out, one line for each and one for all.
   *
   * @param arguments flags
   */
  public static void main(String[] arguments) {
    try {
      Settings settings = Settings.read(SETTINGS, arguments, System.getenv());
      if (settings.isHelpRequested()) {
        printHelp();
        return;
      }
      System.exit(play(settings) ? 0 : 1);
    } catch (ClementinefordException e) {
      System.err.println(e.getMessage());
      System.exit(e.kind().exitCode());
    } catch (InterruptedException e) {
      System.err.println("interrupted");
      System.exit(ErrorKind.INTERNAL.exitCode());
    }
  }

  private static boolean play(Settings settings)
      throws ClementinefordException, InterruptedException {
    long first =
        settings.get(FIRST_SEED) == 0 ? SystemEpochClock.INSTANCE.time() : settings.get(FIRST_SEED);
    int parallel = settings.get(PARALLEL).intValue();
    FleetSize size = FleetSize.of(settings.get(VMS).intValue());
    checkMemory(parallel * size.vms());
    BlockingQueue<Integer> blocks = new ArrayBlockingQueue<>(parallel);
    for (int block = 1; block <= parallel; block++) {
      blocks.add(block);
    }
    ExecutorService threads = Executors.newFixedThreadPool(parallel);
    List<Future<Soak.Result>> results = new ArrayList<>();
    for (long seed = first; seed < first + settings.get(SEEDS); seed++) {
      long next = seed;
      Path directory = Path.of(settings.get(DIRECTORY), Long.toString(seed));
      results.add(
          threads.submit(
              () -> {
                int block = blocks.take();
                try {
                  return new Soak(
                          next,
                          block,
                          size,
                          directory,
                          SystemNanoClock.INSTANCE,
                          SystemEpochClock.INSTANCE)
                      .call();
                } finally {
                  blocks.add(block);
                }
              }));
    }
    threads.shutdown();
    return report(results);
  }

  /** Leaves half of the memory to others. */
  private static void checkMemory(int processes) throws ClementinefordException {
    OperatingSystemMXBean machine =
        ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
    long most = machine.getTotalMemorySize() / 2 / PROCESS_BYTES;
    if (processes > most) {
      throw new ClementinefordException(
          ErrorKind.LOCAL_RESOURCE,
          processes
              + " processes need over half of the memory; use at most "
              + most
              + ", with --vms and --parallel");
    }
  }

  private static boolean report(List<Future<Soak.Result>> results) throws InterruptedException {
    int failed = 0;
    for (Future<Soak.Result> future : results) {
      try {
        Soak.Result result = future.get();
        System.out.printf(
            "seed %d: %d of %d served, %d promises broken, %d cut at the end of a stop%n",
            result.seed(),
            result.served(),
            result.requests(),
            result.broken().size(),
            result.atStopEnd().size());
        result.broken().forEach(text -> System.out.println("  " + text));
        result.atStopEnd().forEach(text -> System.out.println("  allowed: " + text));
        failed += result.broken().isEmpty() ? 0 : 1;
      } catch (ExecutionException e) {
        System.out.println("not played: " + e.getCause().getMessage());
        failed++;
      }
    }
    System.out.printf("%d seeds, %d failed%n", results.size(), failed);
    return failed == 0;
  }

  private static void printHelp() {
    try (PrintWriter output = new PrintWriter(System.out)) {
      HelpFormatter.builder()
          .setHelpAppendable(new TextHelpAppendable(output))
          .setShowSince(false)
          .get()
          .printHelp("soak", "", Settings.options(SETTINGS), "", true);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
