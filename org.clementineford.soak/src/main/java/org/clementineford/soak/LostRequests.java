package org.clementineford.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.clementineford.platform.standin.RunRecorder;

/** Finds the requests that were read or passed on and whose callers got no whole answer. */
final class LostRequests {
  private final SoakFleet fleet;
  private final Callers callers;

  /**
   * What was found.
   *
   * @param broken one sentence for each request that may not be lost
   * @param atStopEnd one sentence for each request that was sent early in a stop and was still
   *     running at its end, which the platform allows
   */
  record Findings(List<String> broken, List<String> atStopEnd) {}

  LostRequests(SoakFleet fleet, Callers callers) {
    this.fleet = fleet;
    this.callers = callers;
  }

  /** Judges all requests, given all faults, each ended. */
  Findings find(List<FaultSeries.Period> periods) {
    Findings findings = new Findings(new ArrayList<>(), new ArrayList<>());
    Map<String, List<RunRecorder.Run>> runs = fleet.ledger().runs();
    Set<String> servers =
        fleet.allServers().stream()
            .map(server -> FaultKind.serverName(server.identity()))
            .collect(Collectors.toUnmodifiableSet());
    for (CallerRecord record : callers.records()) {
      List<RunRecorder.Run> ran = runs.getOrDefault(record.id(), List.of());
      OptionalLong completedAt = fleet.ledger().completedAt(record.id());
      OptionalLong stoppedAt = stopBefore(record);
      LossRule.Verdict verdict =
          LossRule.judge(record, ran, completedAt, stoppedAt, periods, servers);
      if (verdict == LossRule.Verdict.LOST) {
        findings.broken().add(describe(record, ran, stoppedAt));
      } else if (verdict == LossRule.Verdict.AT_STOP_END) {
        findings.atStopEnd().add(describe(record, ran, stoppedAt));
      }
    }
    return findings;
  }

  private static String describe(
      CallerRecord record, List<RunRecorder.Run> ran, OptionalLong stoppedAt) {
    String place =
        ran.isEmpty() ? "reached no server" : "ran at " + ran.get(ran.size() - 1).server();
    String text =
        record.id() + " (" + record.kind() + ") " + place + " and was lost by " + record.entry();
    return stoppedAt.isEmpty()
        ? text + " without a stop"
        : String.format(
            Locale.ROOT,
            "%s %d ms after SIGTERM, sent %d ms after it",
            text,
            TimeUnit.NANOSECONDS.toMillis(record.endedAt() - stoppedAt.getAsLong()),
            TimeUnit.NANOSECONDS.toMillis(record.startedAt() - stoppedAt.getAsLong()));
  }

  /** Returns when the stop began that was going on at the end of a request. */
  private OptionalLong stopBefore(CallerRecord record) {
    return fleet.entries().stream()
        .filter(entry -> entry.vm().equals(record.entry()))
        .flatMap(entry -> entry.lives().stream())
        .flatMapToLong(life -> life.stoppedAt().stream())
        .filter(at -> record.endedAt() - at >= 0)
        .filter(at -> record.endedAt() - at <= LossRule.STOP_NOTICED_NANOS)
        .max();
  }
}
