package org.clementineford.bench.requests;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGeneratorFactory;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.standins.EngineOptions;
import org.clementineford.standins.ServiceStandIn.Runs;
import org.clementineford.transport.http.HttpRequest;

/**
 * Sends reservations during a seeded schedule of faults, then during planned stops. Three in four
 * have an idempotency key and are sent again through the next entry VM until they are answered; the
 * others are sent once. The runs that the service counted are the ground truth.
 */
final class FaultsScenario {
  private static final int ENDPOINTS = 3;
  private static final int ENTRIES = 3;
  private static final double RATE = 60;
  private static final long TIMEOUT_MS = 15_000;
  private static final long RESEND_DELAY_MS = 300;
  private static final EngineOptions ENGINE = new EngineOptions(20, 10, 8, 256, true, 0);
  private static final int MAX_SUBMISSIONS = 40;

  private final int requests;
  private final int threads;
  private final long seed;
  private final ScheduledExecutorService resends = Executors.newSingleThreadScheduledExecutor();

  FaultsScenario(int requests, int threads, long seed) {
    this.requests = requests;
    this.threads = threads;
    this.seed = seed;
  }

  Map<String, Object> run() throws Exception {
    var loops = EventLoopGroups.create("callers", threads);
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("scenario", "faults");
    figures.put("layout", "one process, separate event loops for each part");
    figures.put("seed", seed);
    try (LoadClient caller = new LoadClient(loops)) {
      boolean safe = inject(caller, figures) & stop(caller, figures);
      figures.put("withinTarget", safe);
    } finally {
      resends.shutdownNow();
      EventLoopGroups.stop(loops);
    }
    return figures;
  }

  private boolean inject(LoadClient caller, Map<String, Object> figures) throws Exception {
    try (Site site = newSite()) {
      FaultSchedule faults =
          new FaultSchedule(site, RandomGeneratorFactory.of("L64X128MixRandom").create(seed));
      faults.start();
      ChatLoad chats = new ChatLoad(site, caller);
      chats.start(requests / RATE);
      List<Reservation> reservations = submit(site, caller, "f", requests);
      figures.put("chatsDuringFaults", chats.figures());
      figures.put("faults", faults.stop());
      boolean safe = report(figures, "duringFaults", reservations, site.service().runs());
      return safe && chats.wrongAnswers() == 0;
    }
  }

  /** Uses a new site, so that effects of earlier faults are not attributed to planned stops. */
  private boolean stop(LoadClient caller, Map<String, Object> figures) throws Exception {
    try (Site site = newSite()) {
      PlannedStops stops = new PlannedStops(site);
      stops.start();
      List<Reservation> reservations = submit(site, caller, "p", requests);
      figures.put("plannedStops", stops.stop());
      long interrupted = reservations.stream().filter(Reservation::wasInterrupted).count();
      figures.put("interruptedByPlannedStops", interrupted);
      reservations.stream()
          .filter(Reservation::wasInterrupted)
          .findFirst()
          .ifPresent(first -> figures.put("firstInterruption", first.history()));
      boolean safe = report(figures, "duringPlannedStops", reservations, site.service().runs());
      return safe && interrupted == 0;
    }
  }

  private Site newSite() throws ClementinefordException {
    Site site = new Site(Map.of("buyers", 1), ENDPOINTS, ENGINE, threads, seed);
    site.startEntries(ENTRIES);
    site.startEndpoints();
    return site;
  }

  private List<Reservation> submit(Site site, LoadClient caller, String prefix, int count)
      throws InterruptedException {
    List<Reservation> reservations = new ArrayList<>();
    CountDownLatch open = new CountDownLatch(count);
    new OpenLoop(RATE)
        .run(
            count / RATE,
            due -> {
              int number = reservations.size();
              String name = prefix + "-" + seed + "-" + number;
              Reservation reservation = new Reservation(name, number % 4 != 3, open);
              reservations.add(reservation);
              send(site, caller, reservation, number);
            });
    open.await(2 * MAX_SUBMISSIONS * RESEND_DELAY_MS + TIMEOUT_MS * 4, TimeUnit.MILLISECONDS);
    return reservations;
  }

  private void send(Site site, LoadClient caller, Reservation reservation, int entry) {
    caller.send(
        site.entryAddress(entry % ENTRIES),
        reservation.request(),
        TIMEOUT_MS + 5000,
        outcome -> {
          if (reservation.ended(outcome, MAX_SUBMISSIONS)) {
            resends.schedule(
                () -> send(site, caller, reservation, entry + 1),
                RESEND_DELAY_MS,
                TimeUnit.MILLISECONDS);
          }
        });
  }

  private static boolean report(
      Map<String, Object> figures, String name, List<Reservation> reservations, Runs runs) {
    Map<String, Object> values = new LinkedHashMap<>();
    long twice = reservations.stream().filter(r -> r.runs(runs) > 1).count();
    long wrongNotRun = reservations.stream().filter(r -> r.isWrongNotRun(runs)).count();
    long wrongAnswers = reservations.stream().filter(Reservation::hasWrongAnswer).count();
    long answeredNotRun =
        reservations.stream().filter(r -> r.isAnswered() && r.runs(runs) == 0).count();
    values.put("reservations", reservations.size());
    values.put("answered", reservations.stream().filter(Reservation::isAnswered).count());
    values.put(
        "keyedAnswered", reservations.stream().filter(r -> r.isKeyed() && r.isAnswered()).count());
    values.put("keyed", reservations.stream().filter(Reservation::isKeyed).count());
    values.put("submissions", reservations.stream().mapToInt(Reservation::submissions).sum());
    values.put("endedUnknown", reservations.stream().filter(Reservation::isUnknown).count());
    values.put("unfinished", reservations.stream().filter(r -> !r.isEnded()).count());
    values.put("runTwice", twice);
    values.put("wrongNotRun", wrongNotRun);
    values.put("wrongAnswers", wrongAnswers);
    values.put("answeredWithoutRun", answeredNotRun);
    figures.put(name, values);
    return twice + wrongNotRun + wrongAnswers + answeredNotRun == 0;
  }

  /** A reservation and the outcomes of its submissions. */
  private static final class Reservation {
    private final String name;
    private final boolean keyed;
    private final CountDownLatch open;
    private final List<LoadClient.Outcome> outcomes = new ArrayList<>();
    private boolean ended;

    Reservation(String name, boolean keyed, CountDownLatch open) {
      this.name = name;
      this.keyed = keyed;
      this.open = open;
    }

    HttpRequest request() {
      Map<String, String> headers = new LinkedHashMap<>();
      headers.put("Authorization", "Bearer buyers");
      headers.put("Content-Type", "application/json");
      headers.put("Clementineford-Timeout-Ms", Long.toString(TIMEOUT_MS));
      if (keyed) {
        headers.put("Idempotency-Key", name);
      }
      String body = "{\"buyer\":\"" + name + "\",\"quantity\":1}";
      return new HttpRequest(
          "POST",
          "/services/reservations/reservations",
          headers,
          body.getBytes(StandardCharsets.UTF_8));
    }

    /** Records the outcome of a submission; returns whether to submit again. */
    synchronized boolean ended(LoadClient.Outcome outcome, int maxSubmissions) {
      outcomes.add(outcome);
      boolean again =
          keyed
              && outcome.end() != LoadClient.End.ANSWERED
              && !outcome.text().contains("outcome-unknown")
              && outcomes.size() < maxSubmissions;
      if (!again) {
        ended = true;
        open.countDown();
      }
      return again;
    }

    private LoadClient.Outcome last() {
      return outcomes.get(outcomes.size() - 1);
    }

    synchronized boolean isEnded() {
      return ended;
    }

    boolean isKeyed() {
      return keyed;
    }

    synchronized int submissions() {
      return outcomes.size();
    }

    synchronized boolean isAnswered() {
      return ended && last().end() == LoadClient.End.ANSWERED;
    }

    synchronized boolean isUnknown() {
      return ended && !isAnswered() && !saysNotRun(last());
    }

    private static boolean saysNotRun(LoadClient.Outcome outcome) {
      return outcome.end() == LoadClient.End.NOT_SENT
          || (outcome.end() == LoadClient.End.REFUSED && outcome.run().equals("not-run"));
    }

    /** Returns the runs by key or, without one, by the request identity if an answer had it. */
    synchronized int runs(Runs runs) {
      if (keyed) {
        return runs.byKey().getOrDefault(name, 0);
      }
      return outcomes.stream()
          .map(outcome -> outcome.headers().get("Clementineford-Request"))
          .mapToInt(id -> id == null ? 0 : runs.byRequest().getOrDefault(id, 0))
          .sum();
    }

    /** Returns whether every submission was reported as not run although the service ran it. */
    synchronized boolean isWrongNotRun(Runs runs) {
      return ended && runs(runs) > 0 && outcomes.stream().allMatch(Reservation::saysNotRun);
    }

    synchronized boolean hasWrongAnswer() {
      return isAnswered()
          && !(last().text().contains("\"buyer\":\"" + name + "\"") && last().text().endsWith("}"));
    }

    /** Returns the outcome of each submission as text. */
    synchronized String history() {
      StringBuilder text = new StringBuilder(name);
      for (LoadClient.Outcome outcome : outcomes) {
        text.append("; ")
            .append(outcome.end())
            .append(' ')
            .append(outcome.status())
            .append(' ')
            .append(outcome.text());
      }
      return text.toString();
    }

    /**
     * Returns whether a submission ended with neither an answer nor a proof that it did not run.
     */
    synchronized boolean wasInterrupted() {
      return !ended
          || outcomes.stream().anyMatch(o -> o.end() != LoadClient.End.ANSWERED && !saysNotRun(o));
    }
  }
}
