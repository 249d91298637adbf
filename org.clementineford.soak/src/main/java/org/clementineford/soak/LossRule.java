package org.clementineford.soak;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.clementineford.platform.standin.RunRecorder;

/** Decides whether a request without a whole answer breaks a promise. */
final class LossRule {
  /** Time after SIGTERM in which callers learn of the end of a process at the latest. */
  static final long STOP_NOTICED_NANOS =
      TimeUnit.MILLISECONDS.toNanos(SoakFleet.STOP_MS) + TimeUnit.SECONDS.toNanos(1);

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

  /** Time after SIGTERM from which a request that was sent early may be cut off. */
  private static final long LAST_SIXTH_NANOS =
      TimeUnit.MILLISECONDS.toNanos(SoakFleet.STOP_MS) * 5 / 6;

  /** What became of a request. */
  enum Verdict {
    /** It was answered, or not read. */
    NOT_LOST,
    /** A fault explains it. */
    EXCUSED,
    /** It was sent early in a stop and still ran at its end, which the platform allows. */
    AT_STOP_END,
    /** Nothing explains it. */
    LOST
  }

  private LossRule() {}

  /**
   * Judges a request.
   *
   * @param record the request as its caller saw it
   * @param runs runs of the request
   * @param completedAt when a server had sent a whole answer, in monotonic nanoseconds
   * @param stoppedAt when the stop of the entry VM began that was going on at the end of the
   *     request, in monotonic nanoseconds
   * @param periods all faults
   * @param servers names of all servers
   */
  static Verdict judge(
      CallerRecord record,
      List<RunRecorder.Run> runs,
      OptionalLong completedAt,
      OptionalLong stoppedAt,
      List<FaultSeries.Period> periods,
      Set<String> servers) {
    if (record.status() != 0 || (runs.isEmpty() && !wasSurelyRead(record))) {
      return Verdict.NOT_LOST;
    }
    if (isExcused(record, runs, periods, servers)) {
      return Verdict.EXCUSED;
    }
    boolean allowed =
        stoppedAt.isPresent()
            && !runs.isEmpty()
            && record.startedAt() - stoppedAt.getAsLong() <= EARLY_NANOS
            && ranInLastSixth(record, completedAt, stoppedAt.getAsLong());
    return allowed ? Verdict.AT_STOP_END : Verdict.LOST;
  }

  private static boolean wasSurelyRead(CallerRecord record) {
    return record.reused() && record.endedAt() - record.startedAt() >= READ_NANOS;
  }

  private static boolean ranInLastSixth(
      CallerRecord record, OptionalLong completedAt, long stoppedAt) {
    long lastSixthAt = stoppedAt + LAST_SIXTH_NANOS;
    return record.endedAt() - lastSixthAt >= 0
        && (completedAt.isEmpty() || completedAt.getAsLong() - lastSixthAt >= 0);
  }

  private static boolean isExcused(
      CallerRecord record,
      List<RunRecorder.Run> runs,
      List<FaultSeries.Period> periods,
      Set<String> servers) {
    if (record.hasWaitedToTimeout()) {
      long from = record.startedAt() - AFTERMATH_NANOS;
      return periods.stream()
          .filter(period -> period.overlaps(from, record.endedAt()))
          .anyMatch(period -> !period.kind().isPlanned());
    }
    // A request that reached no server may have been sent to any.
    Set<String> involved =
        runs.isEmpty()
            ? servers
            : runs.stream()
                .map(run -> FaultKind.serverName(run.server()))
                .collect(Collectors.toUnmodifiableSet());
    return periods.stream()
        .filter(period -> period.overlaps(record.startedAt(), record.endedAt()))
        .anyMatch(period -> period.kind().breaksOff(period.target(), record.entry(), involved));
  }
}
