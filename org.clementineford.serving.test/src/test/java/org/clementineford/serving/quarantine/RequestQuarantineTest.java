package org.clementineford.serving.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RequestQuarantineTest {
  private static final String SERVICE = "pool";
  private static final Suspect PART = new Suspect(Suspect.Kind.PROMPT_PART, SERVICE, "bad");

  private final VirtualTime time = new VirtualTime(0);
  private final RequestQuarantine quarantine = new RequestQuarantine(time);

  private void answered(String... parts) {
    quarantine.answered(Suspect.parts(SERVICE, List.of(parts)));
  }

  private void interrupted(String engine, String request, String... parts) {
    quarantine.interrupted(engine, request, Suspect.parts(SERVICE, List.of(parts)));
  }

  private void crash(String engine, String request, String... parts) {
    interrupted(engine, request, parts);
    quarantine.crashed(engine);
    time.advance(10, TimeUnit.MILLISECONDS);
  }

  private boolean isQuarantined(String part) {
    return quarantine.quarantinedSuspect(Suspect.parts(SERVICE, List.of(part))).isPresent();
  }

  @Nested
  class QueryOfDeath {
    // Guards against sending a prompt on while its part has ended three engines.
    @Test
    void isQuarantinedAfterThreeCrashes() {
      crash("e1", "r1", "shared", "bad");
      crash("e2", "r1", "shared", "bad");
      assertThat(isQuarantined("bad")).isFalse();
      answered("shared", "x");
      crash("e3", "r2", "shared", "bad");
      assertThat(
              quarantine
                  .quarantinedSuspect(Suspect.parts(SERVICE, List.of("shared", "bad")))
                  .map(Suspect::id))
          .contains("bad");
      assertThat(quarantine.quarantinedSuspect(Suspect.parts(SERVICE, List.of("shared", "x"))))
          .isEmpty();
      assertThat(quarantine.quarantinedSuspect(Suspect.parts("other", List.of("bad")))).isEmpty();
    }

    // Guards against a third engine for a request that has lost two, before crashes are confirmed.
    @Test
    void isNotRetriedAfterTwoLostEngines() {
      interrupted("e1", "r1", "bad");
      assertThat(quarantine.isSuspect(Suspect.parts(SERVICE, List.of("bad")))).isFalse();
      interrupted("e2", "r1", "bad");
      assertThat(quarantine.isSuspect(Suspect.parts(SERVICE, List.of("bad")))).isTrue();
      answered("bad");
      assertThat(quarantine.isSuspect(Suspect.parts(SERVICE, List.of("bad")))).isFalse();
    }

    // Guards against a quarantine that ends while crashes go on, or that never ends.
    @Test
    void leavesQuarantineInTimeAndReturnsWithTheNextCrash() {
      crash("e1", "r1", "bad");
      crash("e2", "r2", "bad");
      crash("e3", "r3", "bad");
      assertThat(quarantine.remainingNanos(PART)).isPositive();
      time.advance(9, TimeUnit.MINUTES);
      assertThat(isQuarantined("bad")).isTrue();
      time.advance(2, TimeUnit.MINUTES);
      assertThat(isQuarantined("bad")).isFalse();
      assertThat(quarantine.quarantined()).isEmpty();
      crash("e4", "r4", "bad");
      assertThat(isQuarantined("bad")).isTrue();
    }
  }

  @Nested
  class SoundPart {
    // Guards against blaming broken answers of engines that go on running.
    @Test
    void isNotBlamedForInterruptionsWithoutCrash() {
      for (int i = 0; i < 10; i++) {
        interrupted("e" + i, "r" + i, "part");
        time.advance(3, TimeUnit.SECONDS);
        quarantine.crashed("e" + i);
      }
      assertThat(quarantine.comparedRecords()).isEmpty();
    }

    // Guards against refusing the requests of a route because many engines crash at once.
    @Test
    void isNotBlamedIfItWasAnsweredShortlyBeforeManyCrashes() {
      answered("shared");
      for (int i = 0; i < 10; i++) {
        crash("e" + i, "r" + i, "shared", "own" + i);
      }
      assertThat(quarantine.quarantined()).isEmpty();
    }

    // Guards against blaming a part that another VM has seen answered since the crashes.
    @Test
    void isClearedByAnAnswerThatAnotherVmSaw() {
      crash("e1", "r1", "part");
      crash("e2", "r2", "part");
      crash("e3", "r3", "part");
      assertThat(isQuarantined("part")).isTrue();
      quarantine.merge(
          List.of(
              new SuspectRecord(
                  new Suspect(Suspect.Kind.PROMPT_PART, SERVICE, "part"),
                  List.of(),
                  OptionalLong.of(time.nanoTime()))));
      assertThat(isQuarantined("part")).isFalse();
    }

    // Guards against blaming the neighbours of a query of death, which break with it and are sent
    // to further engines that it ends.
    @Test
    void isNotBlamedForCrashesThatAnotherPartExplains() {
      crash("e0", "r0", "bad");
      for (int i = 1; i < 5; i++) {
        interrupted("e" + i, "s" + (i % 2), "neighbour");
        crash("e" + i, "r" + i, "bad");
      }
      assertThat(isQuarantined("bad")).isTrue();
      assertThat(isQuarantined("neighbour")).isFalse();
    }

    // Guards against blaming one request that lost several engines for other reasons.
    @Test
    void isNotBlamedForCrashesUnderOneRequest() {
      crash("e1", "r1", "part");
      crash("e2", "r1", "part");
      crash("e3", "r1", "part");
      assertThat(isQuarantined("part")).isFalse();
    }
  }

  @Nested
  class RepeatedRequest {
    private final Suspect fatal = request("fatal");

    private static Suspect request(String body) {
      return Suspect.request(SERVICE, "target", body);
    }

    private void crash(String engine, Suspect... held) {
      for (Suspect suspect : held) {
        quarantine.interrupted(engine, "r-" + suspect.id() + engine, List.of(suspect));
      }
      quarantine.crashed(engine);
      time.advance(10, TimeUnit.MILLISECONDS);
    }

    private boolean isQuarantined(Suspect suspect) {
      return quarantine.quarantinedSuspect(List.of(suspect)).isPresent();
    }

    // Guards against sending a request on that has ended three servers, in one attempt of its
    // caller or in several.
    @Test
    void isQuarantinedAfterThreeCrashes() {
      quarantine.interrupted("e1", "r1", List.of(fatal));
      quarantine.crashed("e1");
      quarantine.interrupted("e2", "r1", List.of(fatal));
      quarantine.crashed("e2");
      assertThat(quarantine.isSuspect(List.of(fatal))).isTrue();
      assertThat(isQuarantined(fatal)).isFalse();
      quarantine.interrupted("e3", "r2", List.of(fatal));
      quarantine.crashed("e3");
      assertThat(isQuarantined(fatal)).isTrue();
      assertThat(isQuarantined(request("other"))).isFalse();
      assertThat(isQuarantined(Suspect.request("other", "target", "fatal"))).isFalse();
    }

    // Guards against blaming the parts of its prompt, which sound requests share.
    @Test
    void goesBeforeThePartsOfItsPrompt() {
      for (int i = 0; i < 4; i++) {
        quarantine.interrupted("e" + i, "r" + i, List.of(fatal, PART));
        quarantine.crashed("e" + i);
      }
      assertThat(isQuarantined(fatal)).isTrue();
      assertThat(isQuarantined(PART)).isFalse();
    }

    // Guards against blaming a request for a part of its prompt that crashes others too.
    @Test
    void isNotBlamedForCrashesThatPartOfItsPromptExplains() {
      for (int i = 0; i < 4; i++) {
        quarantine.interrupted("e" + i, "r" + i, List.of(request("b" + i / 2), PART));
        quarantine.crashed("e" + i);
      }
      assertThat(isQuarantined(PART)).isTrue();
      assertThat(isQuarantined(request("b0"))).isFalse();
    }

    // Guards against refusing a sound request that was at the same three servers.
    @Test
    void isToldApartFromNeighboursInTheSameCrashesByTheNextOne() {
      Suspect neighbour = request("sound");
      for (int i = 0; i < 3; i++) {
        crash("e" + i, fatal, neighbour);
      }
      assertThat(isQuarantined(neighbour)).isFalse();
      crash("e3", fatal);
      assertThat(isQuarantined(fatal)).isTrue();
      assertThat(isQuarantined(neighbour)).isFalse();
    }

    // Guards against a sound request that is refused because servers ended under it for other
    // reasons, for example in a release.
    @Test
    void isClearedByCompleteAnswers() {
      crash("e1", fatal);
      crash("e2", fatal);
      quarantine.answered(List.of(fatal));
      time.advance(2, TimeUnit.SECONDS);
      crash("e3", fatal);
      assertThat(isQuarantined(fatal)).isFalse();
    }

    // Guards against digests of all bodies.
    @Test
    void isComparedOnlyIfItsTargetWasInterrupted() {
      assertThat(quarantine.hasRequestSuspects()).isFalse();
      crash("e1", fatal);
      assertThat(quarantine.hasRequestSuspects()).isTrue();
      assertThat(quarantine.mayBeSuspect("target")).isTrue();
      assertThat(quarantine.mayBeSuspect("elsewhere")).isFalse();
    }

    // Guards against callers with ever new bodies, who let VMs forget parts of prompts, or exchange
    // all their records for ever.
    @Test
    void ofHostileCallersNeitherDisplacesPartsNorIsCompared() {
      RequestQuarantineTest.this.crash("p1", "r1", "bad");
      for (int i = 0; i < 2_000; i++) {
        crash("e" + i, request("b" + i));
      }
      assertThat(quarantine.comparedRecords()).hasSize(1);
      RequestQuarantineTest.this.crash("p2", "r2", "bad");
      RequestQuarantineTest.this.crash("p3", "r3", "bad");
      assertThat(RequestQuarantineTest.this.isQuarantined("bad")).isTrue();
      time.advance(3, TimeUnit.MINUTES);
      crash("last", request("last"));
      assertThat(quarantine.recordsChangedSince(0)).hasSizeLessThanOrEqualTo(2);
    }
  }

  @Nested
  class Records {
    // Guards against VMs that disagree after they have exchanged their records in any order.
    @Test
    void leadToEqualDecisionsWhateverTheirOrder() {
      for (int seed = 0; seed < 50; seed++) {
        Random random = new Random(seed);
        RequestQuarantine one = new RequestQuarantine(time);
        RequestQuarantine two = new RequestQuarantine(time);
        for (int i = 0; i < 40; i++) {
          RequestQuarantine observer = random.nextBoolean() ? one : two;
          String engine = "e" + random.nextInt(12);
          observer.interrupted(
              engine,
              "r" + random.nextInt(20),
              Suspect.parts(SERVICE, List.of("p" + random.nextInt(5))));
          observer.crashed(engine);
        }
        two.merge(one.comparedRecords());
        one.merge(two.comparedRecords());
        assertThat(one.digest()).as("seed %d", seed).isEqualTo(two.digest());
        assertThat(one.quarantined()).as("seed %d", seed).isEqualTo(two.quarantined());
      }
    }

    // Guards against memory that callers can fill with parts of their own choice.
    @Test
    void areBounded() {
      for (int i = 0; i < 2_000; i++) {
        crash("e" + i, "r" + i, "p" + i + "x".repeat(1_000));
        answered("q" + i);
      }
      assertThat(quarantine.comparedRecords()).hasSizeLessThanOrEqualTo(256);
      assertThat(quarantine.comparedRecords())
          .allMatch(each -> each.suspect().id().length() <= 64 && each.crashes().size() <= 8);
      for (int i = 0; i < 20; i++) {
        crash("f" + i, "r" + i, "bad");
      }
      assertThat(isQuarantined("bad")).isTrue();
    }

    // Guards against repeating to other VMs for ever that a part is sound.
    @Test
    void ofSoundPartsAreForgotten() {
      crash("e1", "r1", "part");
      answered("part");
      assertThat(quarantine.comparedRecords()).hasSize(1);
      time.advance(11, TimeUnit.SECONDS);
      crash("e2", "r2", "other");
      assertThat(quarantine.comparedRecords()).hasSize(1);
      assertThat(quarantine.recordsChangedSince(0)).hasSize(1);
    }
  }
}
