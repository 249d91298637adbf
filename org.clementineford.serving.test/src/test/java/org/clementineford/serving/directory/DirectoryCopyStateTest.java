package org.clementineford.serving.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DirectoryCopyStateTest {
  private static final long EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(3_600);

  private final DirectoryCopyState copy =
      new DirectoryCopyState(ObjectKind.ENDPOINTS, EXPIRY_NANOS);

  private static DirectoryEntry entry(String name, long revision) {
    return new DirectoryEntry(name, revision, new byte[0], false);
  }

  private static DirectoryEntry removed(String name, long revision) {
    return new DirectoryEntry(name, revision, new byte[0], true);
  }

  private static HistoryPosition at(long revision) {
    return new HistoryPosition(1, revision);
  }

  private List<String> names() {
    return copy.entries().stream().map(DirectoryEntry::name).sorted().toList();
  }

  @Nested
  class Revision {
    // Guards against an older copy from a peer that replaces a newer one.
    @Test
    void neverDecreases() {
      copy.replace(List.of(entry("a", 5)), at(5), 0, 0);
      assertThat(copy.replace(List.of(entry("a", 3)), at(4), 0, 0)).isFalse();
      assertThat(copy.position()).isEqualTo(at(5));
    }

    // Guards against an older change that arrives after a newer one.
    @Test
    void ofAnEntryNeverDecreases() {
      copy.replace(List.of(entry("a", 5)), at(5), 0, 0);
      assertThat(copy.apply(List.of(entry("a", 4)), 6, 0, 0)).isFalse();
      assertThat(copy.entries().get(0).revision()).isEqualTo(5);
    }
  }

  @Nested
  class AfterOutage {
    // Guards against removing endpoints that had no time yet to register again.
    @Test
    void missingEntriesAreKeptUntilTheyCanRegisterAgain() {
      copy.replace(List.of(entry("a", 1), entry("b", 2)), at(2), 0, 0);
      copy.outageEnded(0);
      copy.replace(List.of(entry("a", 1)), at(9), 0, 0);
      assertThat(names()).containsExactly("a", "b");
      assertThat(copy.expire(DirectoryCopyState.REREGISTRATION_NANOS - 1)).isFalse();
      assertThat(copy.expire(DirectoryCopyState.REREGISTRATION_NANOS)).isTrue();
      assertThat(names()).containsExactly("a");
    }

    // Guards against removing endpoints that a watch reports as removed because of the outage.
    @Test
    void removedEntriesAreKeptIfTheyRegisterAgain() {
      copy.replace(List.of(entry("a", 1)), at(1), 0, 0);
      copy.outageEnded(0);
      copy.apply(List.of(removed("a", 2)), 2, 0, 0);
      assertThat(names()).containsExactly("a");
      copy.apply(List.of(entry("a", 3)), 3, 0, 0);
      assertThat(copy.expire(DirectoryCopyState.REREGISTRATION_NANOS)).isFalse();
      assertThat(names()).containsExactly("a");
    }
  }

  @Nested
  class PeerCopy {
    // Guards against an endpoint that stays in use for good: a peer that kept it after an outage
    // passes it on at a position after its removal.
    @Test
    void holdsEntriesNoLongerThanThePeerKeepsThem() {
      copy.replace(List.of(entry("a", 1), entry("b", 2)), at(2), 0, 0);
      copy.outageEnded(0);
      List<DirectoryEntry> peers = List.of(entry("a", 1), entry("b", 2));
      copy.replaceWithPeerCopy(peers, Map.of("a", 500L), at(9), 0, 0);
      assertThat(names()).containsExactly("a", "b");
      assertThat(copy.expire(500)).isTrue();
      assertThat(names()).containsExactly("b");
    }

    // Guards against an endpoint that left and stays in use, since a peer alone lost the platform.
    @Test
    void holdsNoKeptEntryIfOnlyThePeerHadAnOutage() {
      copy.replace(List.of(entry("a", 1), entry("b", 2)), at(2), 0, 0);
      List<DirectoryEntry> peers = List.of(entry("a", 1), entry("b", 2));
      copy.replaceWithPeerCopy(peers, Map.of("a", 500L), at(9), 0, 0);
      assertThat(names()).containsExactly("b");
    }

    // Guards against VMs that prolong the time of such an entry for each other.
    @Test
    void doesNotProlongWhatIsKeptHere() {
      copy.outageEnded(0);
      copy.replace(List.of(entry("a", 1)), at(1), 0, 0);
      copy.replaceWithPeerCopy(List.of(entry("a", 1)), Map.of("a", 500L), at(9), 0, 0);
      copy.replaceWithPeerCopy(List.of(entry("a", 1)), Map.of("a", 900L), at(9), 0, 0);
      assertThat(copy.expire(500)).isTrue();
    }

    // Guards against removing an endpoint that registered again.
    @Test
    void endsWithTheRegistrationOfTheEntry() {
      copy.replaceWithPeerCopy(List.of(entry("a", 1)), Map.of("a", 500L), at(9), 0, 0);
      copy.apply(List.of(entry("a", 10)), 10, 0, 0);
      assertThat(copy.expire(500)).isFalse();
      assertThat(names()).containsExactly("a");
    }
  }

  @Nested
  class AnotherEra {
    private HistoryPosition next(long revision) {
      return new HistoryPosition(2, revision);
    }

    // Guards against endpoints that are dropped although they registered again, at a revision that
    // is below that of their entry in the era before.
    @Test
    void entriesThatRegisterAgainAtLowerRevisionsStay() {
      copy.replace(List.of(entry("a", 30)), at(30), 0, 0);
      copy.replace(List.of(), next(20), 0, 0);
      assertThat(names()).containsExactly("a");
      copy.apply(List.of(entry("a", 21)), 21, 0, 0);
      assertThat(copy.expire(DirectoryCopyState.REREGISTRATION_NANOS)).isFalse();
      assertThat(names()).containsExactly("a");
    }

    // Guards against endpoints that are dropped after the second of two restorations, because the
    // time to register again counts from the first.
    @Test
    void missingEntriesGetTheTimeToRegisterAgainInEachEra() {
      copy.replace(List.of(entry("a", 30)), at(30), 0, 0);
      copy.replace(List.of(), next(20), 0, 0);
      long second = DirectoryCopyState.REREGISTRATION_NANOS - 1;
      copy.replace(List.of(), new HistoryPosition(3, 20), second, second);
      assertThat(copy.expire(second + 2)).isFalse();
      assertThat(names()).containsExactly("a");
      assertThat(copy.expire(second + DirectoryCopyState.REREGISTRATION_NANOS)).isTrue();
    }

    private void loseEndpointThatLeft() {
      copy.replace(List.of(entry("a", 30), entry("b", 20)), at(30), 0, 0);
      copy.apply(List.of(removed("b", 31)), 31, 0, 0);
      copy.replace(List.of(entry("a", 28), entry("b", 20)), next(28), 0, 10);
    }

    // Guards against requests to endpoints that had left before the platform was restored.
    @Test
    void entriesOfEndpointsThatHadLeftAreNotUsed() {
      loseEndpointThatLeft();
      assertThat(names()).containsExactly("a");
      assertThat(copy.withheld()).containsExactly("b");
      copy.replace(List.of(entry("a", 28), entry("b", 20)), next(29), 0, 20);
      assertThat(names()).containsExactly("a");
    }

    // Guards against an endpoint that is never used again, since it was cut off when the platform
    // was restored.
    @Test
    void entriesOfEndpointsThatHadLeftAreUsedWhenTheyAreWrittenAgain() {
      loseEndpointThatLeft();
      assertThat(copy.apply(List.of(entry("b", 29)), 29, 0, 20)).isTrue();
      assertThat(names()).containsExactly("a", "b");
    }

    // Guards against an endpoint that is never used again although it runs: its entry changes
    // without an event.
    @Test
    void entriesOfEndpointsThatHadLeftAreUsedIfThePlatformDoesNotRemoveThem() {
      loseEndpointThatLeft();
      long until = 10 + EXPIRY_NANOS + DirectoryCopyState.REREGISTRATION_NANOS;
      assertThat(copy.expire(until - 1)).isFalse();
      assertThat(copy.expire(until)).isTrue();
      assertThat(names()).containsExactly("a", "b");
    }

    // Guards against endpoints that stay in use although they did not register again.
    @Test
    void missingEntriesAreDroppedAfterTheRegistrationTime() {
      copy.replace(List.of(entry("a", 30)), at(30), 0, 0);
      copy.replace(List.of(), next(20), 0, 0);
      assertThat(copy.expire(DirectoryCopyState.REREGISTRATION_NANOS)).isTrue();
      assertThat(names()).isEmpty();
    }
  }

  @Nested
  class OperatorVersions {
    private final DirectoryCopyState configuration =
        new DirectoryCopyState(ObjectKind.CONFIGURATION, EXPIRY_NANOS);

    private static DirectoryEntry version(long revision, long version) {
      return new DirectoryEntry("main", revision, new byte[0], false, version);
    }

    private static HistoryPosition next(long revision) {
      return new HistoryPosition(2, revision);
    }

    private long versionInUse() {
      return configuration.entries().get(0).operatorVersion();
    }

    @BeforeEach
    void load() {
      configuration.replace(List.of(version(30, 13)), at(30), 0, 0);
    }

    // Guards against a confirmed configuration that is given up for one of a restored platform.
    @Test
    void areNotLoweredByTheListingOfTheNextEra() {
      configuration.replace(List.of(version(24, 6)), next(25), 0, 0);
      assertThat(versionInUse()).isEqualTo(13);
      assertThat(configuration.kept().get(0).shown().get().operatorVersion()).isEqualTo(6);
      configuration.expire(Long.MAX_VALUE / 2);
      assertThat(versionInUse()).isEqualTo(13);
    }

    // Guards against a configuration that ends because a restored platform does not have it yet.
    @Test
    void areKeptWithoutTimeLimitIfTheNextEraLacksThem() {
      configuration.replace(List.of(), next(3), 0, 0);
      configuration.replace(List.of(), next(4), 0, 0);
      configuration.expire(Long.MAX_VALUE / 2);
      assertThat(versionInUse()).isEqualTo(13);
    }

    // Guards against a kept configuration that hides what is written again.
    @Test
    void areReplacedWhenTheyAreWrittenAgain() {
      configuration.replace(List.of(version(24, 6)), next(25), 0, 0);
      configuration.apply(List.of(version(26, 13)), 26, 0, 0);
      assertThat(configuration.kept()).isEmpty();
      configuration.apply(List.of(version(27, 16)), 27, 0, 0);
      assertThat(versionInUse()).isEqualTo(16);
    }

    // Guards against steps back while operators write several versions again, one after the other.
    @Test
    void areNotLoweredByChangesOfTheNextEra() {
      configuration.replace(List.of(version(24, 6)), next(25), 0, 0);
      assertThat(configuration.apply(List.of(version(26, 10)), 26, 0, 0)).isFalse();
      assertThat(versionInUse()).isEqualTo(13);
      assertThat(configuration.kept()).hasSize(1);
    }

    // Guards against a change that is not noticed because its revision is that of the kept entry in
    // the era before.
    @Test
    void areRaisedByListingsAtTheRevisionOfTheKeptEntry() {
      configuration.replace(List.of(version(24, 6)), next(25), 0, 0);
      assertThat(configuration.replace(List.of(version(30, 16)), next(30), 0, 0)).isTrue();
    }

    // Guards against a second restoration that lets the kept version go.
    @Test
    void areKeptOverTwoRestorations() {
      configuration.replace(List.of(version(24, 6)), next(25), 0, 0);
      configuration.replace(List.of(), new HistoryPosition(3, 2), 0, 0);
      assertThat(versionInUse()).isEqualTo(13);
    }

    // Guards against a VM that keeps the version of a restored platform although a peer knows that
    // a higher one was confirmed.
    @Test
    void areRaisedByPeers() {
      assertThat(configuration.addHigherVersions(List.of(version(9, 12)))).isFalse();
      assertThat(configuration.addHigherVersions(List.of(version(9, 16)))).isTrue();
      configuration.replace(List.of(version(30, 13)), at(31), 0, 0);
      assertThat(versionInUse()).isEqualTo(16);
    }
  }

  @Nested
  class Proof {
    private static final long SETTLED = DirectoryCopyState.REREGISTRATION_NANOS;

    private final DirectoryCopyState configuration =
        new DirectoryCopyState(ObjectKind.CONFIGURATION, EXPIRY_NANOS);

    private static List<DirectoryEntry> version(long revision, long version) {
      return List.of(new DirectoryEntry("main", revision, new byte[0], false, version));
    }

    private static HistoryPosition next(long revision) {
      return new HistoryPosition(2, revision);
    }

    /** Loads the configuration, which counts as current at time 0. */
    @BeforeEach
    void load() {
      configuration.replace(version(30, 13), at(30), 0, 0);
      assertThat(configuration.ageNanos(0)).isZero();
    }

    // Guards against accepting a key that was removed by a configuration which this VM missed and
    // the restored platform has lost.
    @Test
    void isNotGivenByTheNextEraUntilOperatorsHadTimeToWriteAgain() {
      configuration.replace(version(30, 13), next(30), 5, 5);
      configuration.apply(List.of(), 30, 100, 100);
      assertThat(configuration.ageNanos(200)).isEqualTo(200);
      assertThat(configuration.settlingNanos(100)).isEqualTo(SETTLED - 95);
      configuration.apply(List.of(), 30, SETTLED + 1, SETTLED + 5);
      assertThat(configuration.ageNanos(SETTLED + 5)).isEqualTo(4);
    }

    // Guards against a VM that starts after a restoration and accepts keys that were removed; and
    // against one that starts slowly although the platform was never restored.
    @Test
    void isNotGivenAtTheStartIfThePlatformWasEverRestored() {
      DirectoryCopyState started = new DirectoryCopyState(ObjectKind.CONFIGURATION, EXPIRY_NANOS);
      started.replace(version(24, 6), next(25), 0, 0);
      assertThat(started.ageNanos(SETTLED - 1)).isEqualTo(Long.MAX_VALUE);
      started.replace(version(24, 6), next(25), SETTLED, SETTLED);
      assertThat(started.ageNanos(SETTLED)).isZero();
    }

    // Guards against refusing keys for longer than needed.
    @Test
    void isGivenAtOnceByAnEraInWhichTheObjectWasWrittenAgain() {
      long now = CopyProof.MAX_COPY_AGE_NANOS;
      configuration.replace(version(25, 13), next(25), now, now);
      assertThat(configuration.ageNanos(now + 2)).isEqualTo(2);
    }

    // Guards against a second restoration, from a copy of before the first, that is taken for what
    // operators wrote after it; and against a higher version that hides a lost one.
    @Test
    void isNotGivenAtOnceByVersionsThatMayBeOfOlderCopies() {
      configuration.replace(version(25, 13), next(25), 5, 5);
      assertThat(configuration.ageNanos(7)).isEqualTo(7);
      long now = CopyProof.MAX_COPY_AGE_NANOS + 5;
      configuration.replace(version(27, 16), new HistoryPosition(3, 27), now, now);
      assertThat(configuration.ageNanos(now)).isEqualTo(now);
    }

    // Guards against refusing keys for longer than needed.
    @Test
    void isGivenWhenTheKeptObjectIsWrittenAgain() {
      configuration.replace(version(24, 6), next(25), 5, 5);
      assertThat(configuration.ageNanos(7)).isEqualTo(7);
      configuration.apply(version(26, 13), 26, 8, 9);
      assertThat(configuration.ageNanos(9)).isEqualTo(1);
    }

    // Guards against waiting at a start although a peer has a copy that was proven current.
    @Test
    void isGivenByPeersOfTheSameEra() {
      configuration.replace(version(24, 6), next(25), 5, 5);
      configuration.confirmCurrent(next(25), 6);
      assertThat(configuration.ageNanos(7)).isEqualTo(1);
    }
  }

  // Guards against endpoints that stay in use after their removal.
  @Test
  void removedEntriesAreDroppedAtOnceWithoutOutage() {
    copy.replace(List.of(entry("a", 1)), at(1), 0, 0);
    assertThat(copy.apply(List.of(removed("a", 2)), 2, 0, 0)).isTrue();
    assertThat(names()).isEmpty();
  }

  @Nested
  class Age {
    // Guards against use of a copy that was not confirmed to be current.
    @Test
    void countsFromTheLastConfirmation() {
      assertThat(copy.ageNanos(10)).isEqualTo(Long.MAX_VALUE);
      copy.replace(List.of(), at(1), 5, 5);
      assertThat(copy.ageNanos(15)).isEqualTo(10);
    }

    // Guards against a confirmation of a newer revision that is applied to this older copy.
    @Test
    void isNotResetByConfirmationOfNewerRevision() {
      copy.replace(List.of(), at(1), 5, 5);
      copy.confirmCurrent(at(2), 12);
      assertThat(copy.ageNanos(15)).isEqualTo(10);
      copy.confirmCurrent(at(1), 12);
      assertThat(copy.ageNanos(15)).isEqualTo(3);
    }
  }
}
