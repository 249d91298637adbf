package org.clementineford.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.clementineford.platform.standin.PlainServer;
import org.clementineford.platform.standin.RunRecorder;

/** Judges the requests that were read or passed on and whose callers got no whole answer. */
final class LostRequests {
  /**
   * Time around a fault in which a request may remain unanswered until its caller's timeout, in
   * nanoseconds: what a process believes is wrong for a while after a fault ended.
   */
  private static final long AFTERMATH_NANOS = TimeUnit.SECONDS.toNanos(3);

  /**
   * Time in which a process that runs reads a request on a connection that it has answered on
   * before, in nanoseconds.
   */
  private static final long READ_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time after SIGTERM up to which a request may still be too long for the stop time. */
  private static final long EARLY_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final long STOP_NANOS = TimeUnit.MILLISECONDS.toNanos(SoakFleet.STOP_MS);

  /** Time after SIGTERM from which a request that was sent early may be cut off. */
  private static final long LAST_SIXTH_NANOS = STOP_NANOS * 5 / 6;

  /** Time after the stop time in which callers learn of the end of a process. */
  private static final long NOTICED_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final SoakFleet fleet;
  private final Callers callers;

  /**
   * What was found.
   *
   * @param broken one sentence for each request that may not be lost
   * @param atStopEnd one sentence for each request that was sent early in a stop and was still
   *     running at its end, which the platform allows
   */
  record Verdict(List<String> broken, List<String> atStopEnd) {}

  LostRequests(SoakFleet fleet, Callers callers) {
    this.fleet = fleet;
    this.callers = callers;
  }

  /** Judges all requests, given all faults, each ended. */
  Verdict judge(List<FaultSeries.Period> periods) {
    Verdict verdict = new Verdict(new ArrayList<>(), new ArrayList<>());
    Map<String, List<RunRecorder.Run>> runs = fleet.ledger().runs();
    for (CallerRecord record : callers.records()) {
      List<RunRecorder.Run> ran = runs.getOrDefault(record.id(), List.of());
      boolean taken = !ran.isEmpty() || wasSurelyRead(record);
      if (record.status() == 0 && taken && !isExcused(record, ran, periods)) {
        add(verdict, record, ran);
      }
    }
    return verdict;
  }

  private static boolean wasSurelyRead(CallerRecord record) {
    return record.reused() && record.endedAt() - record.startedAt() >= READ_NANOS;
  }

  private boolean isExcused(
      CallerRecord record, List<RunRecorder.Run> ran, List<FaultSeries.Period> periods) {
    if (record.hasWaitedToTimeout()) {
      long from = record.startedAt() - AFTERMATH_NANOS;
      return periods.stream()
          .filter(period -> period.overlaps(from, record.endedAt()))
          .anyMatch(period -> !period.kind().isPlanned());
    }
    // A request that reached no server may have been sent to any.
    Stream<String> identities =
        ran.isEmpty()
            ? fleet.allServers().stream().map(PlainServer::identity)
            : ran.stream().map(RunRecorder.Run::server);
    Set<String> servers =
        identities.map(FaultKind::serverName).collect(Collectors.toUnmodifiableSet());
    return periods.stream()
        .filter(period -> period.overlaps(record.startedAt(), record.endedAt()))
        .anyMatch(period -> period.kind().breaksOff(period.target(), record.entry(), servers));
  }

  private void add(Verdict verdict, CallerRecord record, List<RunRecorder.Run> ran) {
    String place = ran.isEmpty() ? "reached no server" : "ran at " + last(ran).server();
    String text = record.id() + " (" + record.kind() + ") " + place;
    OptionalLong stop = stopBefore(record);
    if (stop.isEmpty()) {
      verdict.broken().add(text + " and was lost by " + record.entry() + " without a stop");
      return;
    }
    long sentAfter = record.startedAt() - stop.getAsLong();
    long lostAfter = record.endedAt() - stop.getAsLong();
    boolean allowed =
        !ran.isEmpty()
            && sentAfter <= EARLY_NANOS
            && lostAfter >= LAST_SIXTH_NANOS
            && wasAtWork(record, stop.getAsLong() + LAST_SIXTH_NANOS);
    (allowed ? verdict.atStopEnd() : verdict.broken())
        .add(
            String.format(
                Locale.ROOT,
                "%s and was lost by %s %d ms after SIGTERM, sent %d ms after it",
                text,
                record.entry(),
                TimeUnit.NANOSECONDS.toMillis(lostAfter),
                TimeUnit.NANOSECONDS.toMillis(sentAfter)));
  }

  private static RunRecorder.Run last(List<RunRecorder.Run> runs) {
    return runs.get(runs.size() - 1);
  }

  private boolean wasAtWork(CallerRecord record, long at) {
    OptionalLong completedAt = fleet.ledger().completedAt(record.id());
    return completedAt.isEmpty() || completedAt.getAsLong() - at >= 0;
  }

  /** Returns when the stop began that was going on at the end of a request. */
  private OptionalLong stopBefore(CallerRecord record) {
    return fleet.entries().stream()
        .filter(entry -> entry.vm().equals(record.entry()))
        .flatMap(entry -> entry.lives().stream())
        .flatMapToLong(life -> life.stoppedAt().stream())
        .filter(at -> record.endedAt() - at >= 0)
        .filter(at -> record.endedAt() - at <= STOP_NANOS + NOTICED_NANOS)
        .max();
  }
}
