package org.clementineford.bench.requests;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.standins.EngineOptions;

/**
 * One client account, the greedy one, offers ten times its share of the load. For latency, every
 * other account offers half of its share, once together with the greedy account and once alone. For
 * the served cost, all accounts offer more than their share.
 */
final class FairnessScenario {
  private static final String GREEDY = "greedy";
  private static final Map<String, Integer> WEIGHTS =
      new TreeMap<>(Map.of(GREEDY, 1, "warehouse", 3, "buyers", 2, "pastry", 2));
  private static final int ENDPOINTS = 3;
  private static final int ENTRIES = 2;
  private static final int SLOTS = 32;
  private static final int MIN_TOKENS = 4;
  private static final int MEAN_TOKENS = 10;
  private static final long FIRST_TOKEN_MS = 200;
  private static final long BETWEEN_TOKENS_MS = 30;
  private static final long RUN_MS = FIRST_TOKEN_MS + BETWEEN_TOKENS_MS * (MEAN_TOKENS - 1);
  private static final double CAPACITY = ENDPOINTS * SLOTS * 1000.0 / RUN_MS;
  private static final int TOTAL_WEIGHT = WEIGHTS.values().stream().mapToInt(w -> w).sum();
  private static final long TIMEOUT_MS = 20_000;
  private static final double GREEDY_MULTIPLE = 10;
  private static final double LATENCY_BOUND = 1.25;
  private static final double SHARE_BOUND = 0.1;
  private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);
  private static final EngineOptions OPTIONS =
      new EngineOptions(FIRST_TOKEN_MS, BETWEEN_TOKENS_MS, MEAN_TOKENS, SLOTS, true, 0);

  private final double seconds;
  private final int threads;
  private final long seed;

  FairnessScenario(double seconds, int threads, long seed) {
    this.seconds = seconds;
    this.threads = threads;
    this.seed = seed;
  }

  Map<String, Object> run() throws Exception {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("scenario", "fairness");
    figures.put("layout", "one process, separate event loops for each part");
    figures.put("capacityPerSecond", CAPACITY);
    boolean within = true;
    Map<String, Double> beside = new TreeMap<>();
    WEIGHTS.keySet().forEach(name -> beside.put(name, name.equals(GREEDY) ? GREEDY_MULTIPLE : 0.5));
    Result together = load(beside, seconds);
    Map<String, Object> latencies = new LinkedHashMap<>();
    for (String name : WEIGHTS.keySet()) {
      if (!name.equals(GREEDY)) {
        double alone = load(Map.of(name, 0.5), seconds).percentile99(name);
        double ratio = together.percentile99(name) / alone;
        latencies.put(
            name,
            Map.of(
                "aloneMs", alone, "besideGreedyMs", together.percentile99(name), "ratio", ratio));
        within &= ratio <= LATENCY_BOUND;
      }
    }
    figures.put("percentile99", latencies);
    Map<String, Double> saturating = new TreeMap<>();
    WEIGHTS
        .keySet()
        .forEach(name -> saturating.put(name, name.equals(GREEDY) ? GREEDY_MULTIPLE : 1.5));
    Result full = load(saturating, seconds);
    Map<String, Object> shares = new LinkedHashMap<>();
    for (Map.Entry<String, Integer> account : WEIGHTS.entrySet()) {
      double ratio = full.share(account.getKey()) * TOTAL_WEIGHT / account.getValue();
      shares.put(account.getKey(), ratio);
      within &= Math.abs(ratio - 1) <= SHARE_BOUND;
    }
    figures.put("servedCostByWeight", shares);
    figures.put("servedTokensPerSecond", full.total() / (seconds / 2));
    figures.put("wrongAnswers", together.wrong.sum() + full.wrong.sum());
    figures.put("withinTarget", within);
    return figures;
  }

  /** Loads a new site; {@code offered} maps each account to its rate as a multiple of its share. */
  private Result load(Map<String, Double> offered, double seconds)
      throws InterruptedException, ClementinefordException {
    Result result = new Result();
    var loops = EventLoopGroups.create("callers", threads);
    try (Site site = new Site(WEIGHTS, ENDPOINTS, OPTIONS, threads, seed);
        LoadClient caller = new LoadClient(loops)) {
      site.startEntries(ENTRIES);
      site.startEndpoints();
      CountDownLatch ended = new CountDownLatch(offered.size());
      offered.forEach(
          (name, multiple) -> {
            double rate = CAPACITY * WEIGHTS.get(name) / TOTAL_WEIGHT * multiple;
            Thread thread =
                new Thread(
                    () -> {
                      offer(site, caller, name, rate, seconds, result);
                      ended.countDown();
                    },
                    "load-" + name);
            thread.setDaemon(true);
            thread.start();
          });
      ended.await();
    } finally {
      EventLoopGroups.stop(loops);
    }
    return result;
  }

  private static void offer(
      Site site, LoadClient caller, String account, double rate, double seconds, Result result) {
    CountDownLatch open = new CountDownLatch((int) (rate * seconds));
    int[] next = new int[1];
    long[] start = new long[1];
    // Queues fill in the first half of the load; only the second half is measured.
    long half = (long) (seconds / 2 * TimeUnit.SECONDS.toNanos(1));
    new OpenLoop(rate)
        .run(
            seconds,
            due -> {
              int number = next[0]++;
              start[0] = start[0] == 0 ? due : start[0];
              String content = account + " " + number;
              int tokens = tokens(content);
              caller.send(
                  site.entryAddress(number % ENTRIES),
                  Chats.request(account, content, tokens, false),
                  TIMEOUT_MS,
                  outcome -> {
                    result.add(account, content, outcome, due, start[0] + half, half);
                    open.countDown();
                  });
            });
    try {
      open.await(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Returns a length for the answer that varies with the content. With one length for all, engine
   * slots that were filled in a burst stay synchronized, and every wait lasts a complete run.
   */
  private static int tokens(String content) {
    int range = 2 * (MEAN_TOKENS - MIN_TOKENS) + 1;
    return MIN_TOKENS + new SplittableRandom(content.hashCode()).nextInt(range);
  }

  private static final class Result {
    private final Map<String, ConcurrentHistogram> latencies = new ConcurrentHashMap<>();
    private final Map<String, LongAdder> served = new ConcurrentHashMap<>();
    private final LongAdder wrong = new LongAdder();

    void add(
        String account,
        String content,
        LoadClient.Outcome outcome,
        long due,
        long from,
        long length) {
      if (outcome.end() != LoadClient.End.ANSWERED) {
        return;
      }
      if (!Chats.isOwnAnswer(outcome.text(), content, tokens(content), false)) {
        wrong.increment();
      }
      if (outcome.endNanos() >= from && outcome.endNanos() < from + length) {
        served.computeIfAbsent(account, key -> new LongAdder()).add(tokens(content));
      }
      if (due >= from) {
        latencies
            .computeIfAbsent(
                account, key -> new ConcurrentHistogram(TimeUnit.MINUTES.toNanos(2), 3))
            .recordValue(Math.max(0, outcome.endNanos() - due));
      }
    }

    double percentile99(String account) {
      return latencies.get(account).getValueAtPercentile(99) / NANOS_PER_MS;
    }

    long total() {
      return served.values().stream().mapToLong(LongAdder::sum).sum();
    }

    double share(String account) {
      LongAdder own = served.get(account);
      return own == null ? 0 : own.sum() / (double) total();
    }
  }
}
