package org.clementineford.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.clementineford.platform.standin.RunRecorder;
import org.clementineford.soak.LossRule.Verdict;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LossRuleTest {
  private static final OptionalLong STOPPED = OptionalLong.of(nanos(10_000));
  private static final OptionalLong NEVER = OptionalLong.empty();

  private static long nanos(long ms) {
    return TimeUnit.MILLISECONDS.toNanos(ms);
  }

  /** A request on a connection that had brought an answer; times in milliseconds. */
  private static CallerRecord record(int status, long startedMs, long endedMs) {
    return new CallerRecord(
        "id",
        CallKind.LONG_STREAM,
        "/",
        "key",
        "entry-1",
        true,
        nanos(startedMs),
        nanos(endedMs),
        status,
        Map.of(),
        "");
  }

  private static FaultSeries.Period fault(FaultKind kind, String target, long fromMs, long toMs) {
    return new FaultSeries.Period(kind, target, nanos(fromMs), nanos(toMs));
  }

  private static List<RunRecorder.Run> ranAt(String server) {
    return List.of(new RunRecorder.Run(server, 0, "POST /", "account", "", 1));
  }

  private static Verdict judge(
      CallerRecord record,
      OptionalLong completedAt,
      OptionalLong stoppedAt,
      FaultSeries.Period... faults) {
    return LossRule.judge(
        record, ranAt("m1-1"), completedAt, stoppedAt, List.of(faults), Set.of("m1", "m2"));
  }

  @Nested
  class Stop {
    @Test
    void mayNotCutOffWhatWasSentLate() {
      assertThat(judge(record(0, 13_100, 17_400), NEVER, STOPPED)).isEqualTo(Verdict.LOST);
    }

    @Test
    void mayCutOffWhatWasSentEarlyInItsLastSixth() {
      assertThat(judge(record(0, 12_900, 17_400), NEVER, STOPPED)).isEqualTo(Verdict.AT_STOP_END);
    }

    @Test
    void mayNotCutOffWhatWasSentEarlyBeforeItsLastSixth() {
      assertThat(judge(record(0, 12_900, 16_500), NEVER, STOPPED)).isEqualTo(Verdict.LOST);
    }

    @Test
    void mayNotCutOffWhatItsServerHadAnsweredBefore() {
      OptionalLong completedAt = OptionalLong.of(nanos(15_000));
      assertThat(judge(record(0, 12_900, 17_400), completedAt, STOPPED)).isEqualTo(Verdict.LOST);
    }

    @Test
    void losesNothingThatItAnswers() {
      assertThat(judge(record(503, 13_100, 13_200), NEVER, STOPPED)).isEqualTo(Verdict.NOT_LOST);
    }
  }

  @Nested
  class EndOfConnection {
    @Test
    void isExcusedByFaultOfItsOwnEntryVm() {
      assertThat(
              judge(
                  record(0, 0, 2_000),
                  NEVER,
                  NEVER,
                  fault(FaultKind.KILL, "entry-1", 1_999, 3_000)))
          .isEqualTo(Verdict.EXCUSED);
    }

    @Test
    void isExcusedByFaultOfItsServer() {
      assertThat(
              judge(
                  record(0, 0, 2_000),
                  NEVER,
                  NEVER,
                  fault(FaultKind.SERVER_LINK, "m1-1 RESET", 1_000, 3_000)))
          .isEqualTo(Verdict.EXCUSED);
    }

    @Test
    void isNotExcusedByFaultsElsewhereNorBefore() {
      assertThat(
              judge(
                  record(0, 1_000, 2_000),
                  NEVER,
                  NEVER,
                  fault(FaultKind.KILL, "entry-2", 0, 3_000),
                  fault(FaultKind.PAUSE, "entry-1", 0, 900),
                  fault(FaultKind.SERVER_CRASH, "m2-1", 0, 3_000),
                  fault(FaultKind.STORE, "SILENT", 0, 3_000)))
          .isEqualTo(Verdict.LOST);
    }
  }

  @Nested
  class WaitToTimeout {
    private final CallerRecord record =
        record(0, 10_000, 10_000 + CallKind.LONG_STREAM.timeoutMs());

    @Test
    void isExcusedByFaultJustBefore() {
      assertThat(judge(record, NEVER, NEVER, fault(FaultKind.STORE, "SILENT", 0, 7_500)))
          .isEqualTo(Verdict.EXCUSED);
    }

    @Test
    void isNotExcusedByPlannedStop() {
      assertThat(judge(record, NEVER, NEVER, fault(FaultKind.ENTRY_STOP, "entry-1", 0, 12_000)))
          .isEqualTo(Verdict.LOST);
    }
  }

  @Nested
  class RequestThatReachedNoServer {
    private static Verdict judge(CallerRecord record) {
      return LossRule.judge(record, List.of(), NEVER, STOPPED, List.of(), Set.of("m1"));
    }

    @Test
    void isLostIfItWasSurelyRead() {
      assertThat(judge(record(0, 12_000, 17_400))).isEqualTo(Verdict.LOST);
    }

    @Test
    void isNotLostIfItMayHaveCrossedTheClose() {
      assertThat(judge(record(0, 12_000, 12_500))).isEqualTo(Verdict.NOT_LOST);
    }
  }
}
