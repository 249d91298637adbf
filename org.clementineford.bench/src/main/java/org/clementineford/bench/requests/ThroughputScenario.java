package org.clementineford.bench.requests;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.clementineford.kernel.HostPort;
import org.clementineford.standins.EngineOptions;

/**
 * Requests streamed answers at a fixed rate through one entry VM and, in the same run, directly
 * from the engine stand-ins. The two alternate in rounds, so that both run under the same machine
 * load.
 */
final class ThroughputScenario {
  private static final int TOKENS = 8;
  private static final int ENGINES = 3;
  // Short rounds, so that other work on the machine affects both paths alike.
  private static final double ROUND_SECONDS = 2;
  private static final double WARM_UP_SECONDS = 8;
  private static final long TIMEOUT_MS = 10_000;
  private static final EngineOptions OPTIONS = new EngineOptions(20, 10, TOKENS, 4096, true, 0);
  private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

  private final double rate;
  private final double seconds;
  private final int rounds;
  private final int threads;
  private final long seed;
  private final List<HostPort> entryProcess;

  /** Uses the entry VM of another process if its HTTP and peer addresses are given. */
  ThroughputScenario(
      double rate, double seconds, int threads, long seed, List<HostPort> entryProcess) {
    this.entryProcess = entryProcess;
    this.rate = rate;
    this.seconds = seconds;
    this.rounds = (int) Math.max(2, seconds / ROUND_SECONDS);
    this.threads = threads;
    this.seed = seed;
  }

  Map<String, Object> run() throws Exception {
    PathResults through = new PathResults();
    PathResults direct = new PathResults();
    try (Site site = new Site(Map.of(Site.ACCOUNT, 1), ENGINES, OPTIONS, threads, seed)) {
      if (entryProcess.isEmpty()) {
        site.startEntries(1);
      } else {
        site.useEntry(entryProcess.get(0), entryProcess.get(1));
      }
      site.startEndpoints();
      var loops = EventLoopGroups.create("callers", threads);
      try (LoadClient caller = new LoadClient(loops)) {
        // Warm-up: the JIT compiles the code before measured rounds.
        load(caller, site, true, new PathResults(), rate / 4, 3);
        load(caller, site, false, new PathResults(), rate / 4, 3);
        load(caller, site, true, new PathResults(), rate, WARM_UP_SECONDS);
        for (int round = 0; round < rounds; round++) {
          load(caller, site, false, direct, rate, seconds / rounds);
          load(caller, site, true, through, rate, seconds / rounds);
        }
      } finally {
        EventLoopGroups.stop(loops);
      }
    }
    return figures(through, direct);
  }

  private void load(
      LoadClient caller,
      Site site,
      boolean through,
      PathResults series,
      double rate,
      double seconds)
      throws InterruptedException {
    long calls = (long) (seconds * rate);
    CountDownLatch open = new CountDownLatch((int) calls);
    int[] next = new int[1];
    new OpenLoop(rate)
        .run(
            seconds,
            due -> {
              int number = next[0]++;
              String content = "Assess lot " + number;
              HostPort address =
                  through ? site.entryAddress(0) : site.engine(number % ENGINES).address();
              caller.send(
                  address,
                  Chats.request(Site.ACCOUNT, content, TOKENS, true),
                  TIMEOUT_MS,
                  outcome -> {
                    series.add(outcome, content, due);
                    open.countDown();
                  });
            });
    open.await(TIMEOUT_MS * 2, TimeUnit.MILLISECONDS);
    series.unanswered.add(open.getCount());
  }

  private Map<String, Object> figures(PathResults through, PathResults direct) {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("scenario", "throughput");
    figures.put(
        "layout",
        entryProcess.isEmpty()
            ? "one process, separate event loops for each part"
            : "entry VM in its own process; callers, endpoints and engines in another");
    figures.put("ratePerSecond", rate);
    figures.put("requests", through.answered.sum());
    figures.put("failed", through.failed.sum() + through.unanswered.sum());
    figures.put("wrongAnswers", through.wrong.sum());
    figures.put("directRequests", direct.answered.sum());
    figures.put("directFailed", direct.failed.sum() + direct.unanswered.sum());
    figures.put("firstTokenMs", through.percentiles());
    figures.put("directFirstTokenMs", direct.percentiles());
    double median = through.at(50) - direct.at(50);
    double tail = through.at(99) - direct.at(99);
    figures.put("addedMedianMs", median);
    figures.put("addedPercentile99Ms", tail);
    figures.put(
        "withinTarget",
        median <= 2 && tail <= 10 && through.failed.sum() + through.unanswered.sum() == 0);
    return figures;
  }

  private static final class PathResults {
    private final ConcurrentHistogram firstToken =
        new ConcurrentHistogram(TimeUnit.SECONDS.toNanos(60), 3);
    private final LongAdder answered = new LongAdder();
    private final LongAdder failed = new LongAdder();
    private final LongAdder wrong = new LongAdder();
    private final LongAdder unanswered = new LongAdder();

    void add(LoadClient.Outcome outcome, String content, long due) {
      if (outcome.end() != LoadClient.End.ANSWERED) {
        failed.increment();
        return;
      }
      answered.increment();
      firstToken.recordValue(Math.max(0, outcome.firstByteNanos() - due));
      if (!Chats.isOwnAnswer(outcome.text(), content, TOKENS, true)) {
        wrong.increment();
      }
    }

    double at(double percentile) {
      return firstToken.getValueAtPercentile(percentile) / NANOS_PER_MS;
    }

    Map<String, Object> percentiles() {
      Map<String, Object> values = new LinkedHashMap<>();
      values.put("median", at(50));
      values.put("percentile95", at(95));
      values.put("percentile99", at(99));
      values.put("percentile999", at(99.9));
      values.put("max", at(100));
      return values;
    }
  }
}
