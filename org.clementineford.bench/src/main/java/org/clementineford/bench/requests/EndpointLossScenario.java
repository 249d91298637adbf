package org.clementineford.bench.requests;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.standins.EngineOptions;

/**
 * Sends idempotent requests while one endpoint VM of three is lost: in one run it is killed, in the
 * other it is frozen with its sockets open. Half of the requests are streamed.
 */
final class EndpointLossScenario {
  private static final int ENDPOINTS = 3;
  private static final int ENTRIES = 2;
  private static final int TOKENS = 8;
  private static final long DEADLINE_MS = 10_000;
  // Longer than the wait of any request in the second half of the load.
  private static final long FREEZE_MS = 25_000;
  private static final double TARGET_SHARE = 0.999;
  private static final EngineOptions OPTIONS = new EngineOptions(50, 10, TOKENS, 256, true, 0);

  private final double rate;
  private final double seconds;
  private final int threads;
  private final long seed;

  EndpointLossScenario(double rate, double seconds, int threads, long seed) {
    this.rate = rate;
    this.seconds = seconds;
    this.threads = threads;
    this.seed = seed;
  }

  private enum Loss {
    KILL {
      @Override
      void inject(Site site) {
        site.endpoint(0).close();
      }
    },
    FREEZE {
      @Override
      void inject(Site site) {
        site.endpoint(0).freeze(FREEZE_MS);
      }
    };

    abstract void inject(Site site);
  }

  Map<String, Object> run() throws Exception {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("scenario", "endpoint-loss");
    figures.put("layout", "one process, separate event loops for each part");
    figures.put("ratePerSecond", rate);
    boolean within = true;
    for (Loss loss : Loss.values()) {
      Counts counts = inject(loss);
      figures.put(loss.name().toLowerCase(java.util.Locale.ROOT), counts.figures());
      within &= counts.share() >= TARGET_SHARE && counts.wrong.sum() == 0;
    }
    figures.put("withinTarget", within);
    return figures;
  }

  private Counts inject(Loss loss) throws InterruptedException, ClementinefordException {
    Counts counts = new Counts();
    var loops = EventLoopGroups.create("callers", threads);
    try (Site site = new Site(Map.of("warehouse", 1), ENDPOINTS, OPTIONS, threads, seed);
        LoadClient caller = new LoadClient(loops)) {
      site.startEntries(ENTRIES);
      site.startEndpoints();
      long calls = (long) (rate * seconds);
      CountDownLatch open = new CountDownLatch((int) calls);
      int[] next = new int[1];
      new OpenLoop(rate)
          .run(
              seconds,
              due -> {
                int number = next[0]++;
                if (number == calls / 2) {
                  loss.inject(site);
                }
                send(site, caller, number, due, counts, open);
              });
      if (!open.await(2 * DEADLINE_MS, TimeUnit.MILLISECONDS)) {
        counts.late.add(open.getCount());
      }
    } finally {
      EventLoopGroups.stop(loops);
    }
    return counts;
  }

  private static void send(
      Site site, LoadClient caller, int number, long due, Counts counts, CountDownLatch open) {
    String content = "Is batch " + number + " recalled?";
    boolean stream = number % 2 == 0;
    counts.sent.increment();
    caller.send(
        site.entryAddress(number % ENTRIES),
        Chats.request("warehouse", content, TOKENS, stream),
        DEADLINE_MS,
        outcome -> {
          counts.add(outcome, content, stream, due);
          open.countDown();
        });
  }

  private static final class Counts {
    private final LongAdder sent = new LongAdder();
    private final LongAdder answered = new LongAdder();
    private final LongAdder refused = new LongAdder();
    private final LongAdder broken = new LongAdder();
    private final LongAdder late = new LongAdder();
    private final LongAdder wrong = new LongAdder();
    private final AtomicReference<String> firstRefusal = new AtomicReference<>("");

    void add(LoadClient.Outcome outcome, String content, boolean stream, long due) {
      long tookMs = TimeUnit.NANOSECONDS.toMillis(outcome.endNanos() - due);
      switch (outcome.end()) {
        case ANSWERED -> {
          (tookMs <= DEADLINE_MS ? answered : late).increment();
          if (!Chats.isOwnAnswer(outcome.text(), content, TOKENS, stream)) {
            wrong.increment();
          }
        }
        case REFUSED -> {
          refused.increment();
          firstRefusal.compareAndSet("", outcome.text());
        }
        default -> broken.increment();
      }
    }

    double share() {
      return answered.sum() / (double) sent.sum();
    }

    Map<String, Object> figures() {
      Map<String, Object> values = new LinkedHashMap<>();
      values.put("requests", sent.sum());
      values.put("answeredWithinDeadline", answered.sum());
      values.put("share", share());
      values.put("refused", refused.sum());
      values.put("broken", broken.sum());
      values.put("late", late.sum());
      values.put("wrongAnswers", wrong.sum());
      values.put("firstRefusal", firstRefusal.get());
      return values;
    }
  }
}
