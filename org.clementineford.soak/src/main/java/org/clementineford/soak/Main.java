package org.clementineford.soak;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
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
  /** Most runs at a time; each has five processes and its own loopback addresses. */
  private static final int MOST_PARALLEL = 8;

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

  private static final Setting<String> DIRECTORY =
      new Setting<>(
          "directory", "Where logs and settings are written.", "run/soak", SettingParser.text());

  private static final List<Setting<?>> SETTINGS = List.of(FIRST_SEED, SEEDS, PARALLEL, DIRECTORY);

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

  private static boolean report(List<Future<Soak.Result>> results) throws InterruptedException {
    int failed = 0;
    for (Future<Soak.Result> future : results) {
      try {
        Soak.Result result = future.get();
        System.out.printf(
            "seed %d: %d of %d served, %d promises broken%n",
            result.seed(), result.served(), result.requests(), result.broken().size());
        result.broken().forEach(text -> System.out.println("  " + text));
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
