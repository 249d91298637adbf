package org.clementineford.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.PlatformException;
import org.clementineford.serving.directory.DirectoryEntries;
import org.clementineford.serving.directory.DirectoryEntry;
import org.clementineford.serving.directory.HistoryPosition;
import org.clementineford.serving.directory.ObjectDirectory;
import org.clementineford.serving.directory.ObjectKind;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class DirectorySyncTest {
  private static final ObjectKind KIND = ObjectKind.ENDPOINTS;
  private static final long BATCH_DELAY_MS = 300;

  private final VirtualTime time = new VirtualTime(0);
  private final FakeDirectory directory = new FakeDirectory();
  private final List<ObjectKind> changes = new ArrayList<>();
  private final DirectorySync sync =
      new DirectorySync(directory, time, time, 3_600, changes::add, () -> {});

  private static DirectoryEntry entry(String name, long revision) {
    return new DirectoryEntry(name, revision, new byte[0], false);
  }

  private static PlatformException failure(ErrorKind kind) {
    return new PlatformException(kind, "no answer");
  }

  private List<String> names() {
    return sync.copy(KIND).entries().stream().map(DirectoryEntry::name).sorted().toList();
  }

  private void start() {
    sync.start();
    sync.watch(KIND, 1_000, BATCH_DELAY_MS);
    directory.answerFirst(new DirectoryEntries(List.of(entry("a", 1), entry("b", 2)), 2));
    time.advance(BATCH_DELAY_MS, TimeUnit.MILLISECONDS);
  }

  @Nested
  class Watch {
    // Guards against changes that are missed between the listing and the watch, and against a
    // separate call for each of many changes.
    @Test
    void continuesFromTheRevisionOfTheListing() {
      start();
      assertThat(directory.calls).containsExactly("list", "watch 2");
      directory.answerFirst(new DirectoryEntries(List.of(entry("c", 3)), 3));
      assertThat(names()).containsExactly("a", "b", "c");
      assertThat(directory.calls).endsWith("watch 2");
      time.advance(BATCH_DELAY_MS, TimeUnit.MILLISECONDS);
      assertThat(directory.calls).endsWith("watch 3");
      assertThat(changes).hasSize(2);
    }

    // Guards against watching on after the platform dropped the history that the watch needs.
    @Test
    void listsAgainWhenTheHistoryIsLost() {
      start();
      directory.failFirst(new CompletionException(failure(ErrorKind.NOT_FOUND)));
      time.advance(50, TimeUnit.MILLISECONDS);
      assertThat(directory.calls).endsWith("list");
    }

    // Guards against a storm of calls while the platform is unreachable.
    @Test
    void waitsLongerAfterEachFailure() {
      start();
      int calls = directory.calls.size();
      for (int i = 0; i < 20; i++) {
        if (!directory.pending.isEmpty()) {
          directory.failFirst(failure(ErrorKind.UNAVAILABLE));
        }
        time.advance(100, TimeUnit.MILLISECONDS);
      }
      assertThat(directory.calls.size() - calls).isBetween(3, 6);
    }
  }

  @Nested
  class Outage {
    private DirectoryEntries removalOf(String name, long revision) {
      return new DirectoryEntries(
          List.of(new DirectoryEntry(name, revision, new byte[0], true)), revision);
    }

    /** Lets the platform not answer for three seconds, and then answer a watch. */
    private void endOutage(DirectoryEntries firstAnswer) {
      for (int i = 0; i < 30; i++) {
        if (!directory.pending.isEmpty()) {
          directory.failFirst(failure(ErrorKind.UNAVAILABLE));
        }
        time.advance(100, TimeUnit.MILLISECONDS);
      }
      time.advance(800, TimeUnit.MILLISECONDS);
      directory.answerFirst(firstAnswer);
    }

    // Guards against dropping endpoints whose entries lapsed while the platform was down and that
    // are about to register again.
    @Test
    void keepsRemovedEntriesUntilTheRegistrationTimeEnds() {
      start();
      endOutage(removalOf("a", 5));
      assertThat(names()).containsExactly("a", "b");
      time.advance(2_100, TimeUnit.MILLISECONDS);
      assertThat(names()).containsExactly("b");
    }

    // Guards against requests to an endpoint that left a while after an outage: the time to
    // register again counts from the end of the outage.
    @Test
    void keepsNoEntryForLongerThanTheRegistrationTimeAfterItsEnd() {
      start();
      endOutage(new DirectoryEntries(List.of(), 4));
      time.advance(1_500, TimeUnit.MILLISECONDS);
      directory.answerFirst(removalOf("a", 5));
      assertThat(names()).containsExactly("a", "b");
      time.advance(600, TimeUnit.MILLISECONDS);
      assertThat(names()).containsExactly("b");
    }

    // Guards against requests to an endpoint that left, since one call had failed shortly before:
    // no entry lapses in a time that is shorter than the interval at which it is written.
    @Test
    void doesNotBeginWithOneFailedCall() {
      start();
      directory.failFirst(failure(ErrorKind.UNAVAILABLE));
      time.advance(100, TimeUnit.MILLISECONDS);
      directory.answerFirst(removalOf("a", 5));
      assertThat(names()).containsExactly("b");
    }
  }

  @Nested
  class Follower {
    private void confirm(long revision) {
      sync.applyPeerCopy(KIND, new HistoryPosition(0, revision), null, Map.of(), time.nanoTime());
    }

    // Guards against requests to an endpoint that left, since a listing of another kind had failed
    // once: a VM that follows others gets answers of its own only every some seconds.
    @Test
    void takesOneFailedListingForNoOutage() {
      start();
      sync.setSuspended(KIND, true);
      sync.poll(ObjectKind.ENTRY_VMS, 10_000);
      directory.answerLast(new DirectoryEntries(List.of(), 2));
      for (int i = 0; i < 10; i++) {
        time.advance(1, TimeUnit.SECONDS);
        confirm(2);
      }
      directory.failLast(failure(ErrorKind.UNAVAILABLE));
      time.advance(100, TimeUnit.MILLISECONDS);
      directory.answerLast(new DirectoryEntries(List.of(), 2));
      sync.applyPeerCopy(
          KIND, new HistoryPosition(0, 5), List.of(entry("b", 2)), Map.of(), time.nanoTime());
      assertThat(names()).containsExactly("b");
    }

    // Guards against dropping endpoints whose entries lapsed in an outage that a follower notices
    // by its observers only.
    @Test
    void keepsMissingEntriesAfterAnOutageOfItsObservers() {
      start();
      sync.setSuspended(KIND, true);
      confirm(2);
      time.advance(6, TimeUnit.SECONDS);
      sync.applyPeerCopy(
          KIND, new HistoryPosition(0, 5), List.of(entry("b", 2)), Map.of(), time.nanoTime());
      assertThat(names()).containsExactly("a", "b");
      time.advance(2_100, TimeUnit.MILLISECONDS);
      assertThat(names()).containsExactly("b");
    }

    // Guards against requests to an endpoint that left, since a call had failed before the VM
    // followed others.
    @Test
    void takesAnEarlierFailureForNoOutageWhenItWatchesAgain() {
      start();
      directory.failLast(failure(ErrorKind.UNAVAILABLE));
      sync.setSuspended(KIND, true);
      for (int i = 0; i < 10; i++) {
        time.advance(1, TimeUnit.SECONDS);
        confirm(2);
      }
      time.advance(1_500, TimeUnit.MILLISECONDS);
      sync.setSuspended(KIND, false);
      directory.answerLast(
          new DirectoryEntries(List.of(new DirectoryEntry("a", 5, new byte[0], true)), 5));
      assertThat(names()).containsExactly("b");
    }

    // Guards against an outage that is counted from the last answer before the VM followed others.
    @Test
    void takesOneFailedCallForNoOutageWhenItWatchesAgain() {
      start();
      sync.setSuspended(KIND, true);
      for (int i = 0; i < 10; i++) {
        time.advance(1, TimeUnit.SECONDS);
        confirm(2);
      }
      sync.setSuspended(KIND, false);
      directory.failLast(failure(ErrorKind.UNAVAILABLE));
      time.advance(100, TimeUnit.MILLISECONDS);
      directory.answerLast(
          new DirectoryEntries(List.of(new DirectoryEntry("a", 5, new byte[0], true)), 5));
      assertThat(names()).containsExactly("b");
    }
  }

  @Nested
  class WatchDuringOutage {
    private final ObjectKind polled = ObjectKind.ENTRY_VMS;

    private void failAndRecover() {
      sync.poll(polled, 5_000);
      directory.failLast(failure(ErrorKind.UNAVAILABLE));
      time.advance(1, TimeUnit.SECONDS);
      directory.answerLast(new DirectoryEntries(List.of(), 3));
    }

    // Guards against waiting for a watch that the platform dropped in an outage: changes made
    // meanwhile would arrive only after the wait of that watch has passed.
    @Test
    void isReplacedWhenThePlatformAnswersAgain() {
      start();
      failAndRecover();
      assertThat(directory.calls).endsWith("watch 2");
      directory.answerLast(new DirectoryEntries(List.of(entry("c", 3)), 3));
      assertThat(names()).containsExactly("a", "b", "c");
    }

    // Guards against a late answer to the replaced watch that reverts the copy.
    @Test
    void isIgnoredWhenItIsAnsweredAfterItsReplacement() {
      start();
      failAndRecover();
      directory.answerLast(new DirectoryEntries(List.of(entry("c", 3)), 3));
      final int calls = directory.calls.size();
      directory.answerFirst(new DirectoryEntries(List.of(), 2));
      assertThat(names()).containsExactly("a", "b", "c");
      assertThat(directory.calls).hasSize(calls);
    }
  }

  @Nested
  class SilentConnections {
    private final List<Long> changesAfter = new ArrayList<>();
    private final DirectorySync probing =
        new DirectorySync(
            directory, time, time, 3_600, kind -> changesAfter.add(changesAfter()), () -> {});

    private long changesAfter() {
      return probing.changesAfter();
    }

    /** Watches with a wait of 30 s, and loses the connections 1 s after the last answer. */
    private void startAndFallSilent() {
      probing.start();
      probing.watch(KIND, 30_000, 0);
      probing.probe(KIND, 2_500);
      directory.answerFirst(new DirectoryEntries(List.of(entry("a", 1)), 2));
      changesAfter.clear();
      time.advance(3_500, TimeUnit.MILLISECONDS);
    }

    // Guards against changes that arrive only after the wait of a watch whose connection is silent.
    @Test
    void areNoticedLongBeforeTheWaitOfTheWatchEnds() {
      startAndFallSilent();
      assertThat(directory.calls).containsExactly("list", "watch 2", "list");
      directory.failLast(failure(ErrorKind.OUTCOME_UNKNOWN));
      assertThat(directory.calls).endsWith("watch 2").hasSize(4);
    }

    // Guards against a silent watch that stays, since the call that asks could not be sent.
    @Test
    void areNoticedIfTheCallThatAsksThrows() {
      probing.start();
      probing.watch(KIND, 30_000, 0);
      probing.probe(KIND, 2_500);
      directory.answerFirst(new DirectoryEntries(List.of(entry("a", 1)), 2));
      directory.error = new StackOverflowError("by the test");
      try {
        time.advance(3_500, TimeUnit.MILLISECONDS);
      } catch (StackOverflowError e) {
        assertThat(e).hasMessage("by the test");
      }
      assertThat(directory.calls).containsExactly("list", "watch 2", "watch 2");
    }

    // Guards against a bound that counts from when a VM learned of a version too late.
    @Test
    void doNotMakeChangesLookNewer() {
      startAndFallSilent();
      directory.failLast(failure(ErrorKind.OUTCOME_UNKNOWN));
      directory.answerLast(new DirectoryEntries(List.of(entry("b", 3)), 3));
      assertThat(changesAfter).containsExactly(0L);
    }

    // Guards against a version that counts as old because connections were silent long before it.
    @Test
    void areForgottenOnceTheNextWatchWaits() {
      startAndFallSilent();
      directory.failLast(failure(ErrorKind.OUTCOME_UNKNOWN));
      time.advance(1_200, TimeUnit.MILLISECONDS);
      directory.answerLast(new DirectoryEntries(List.of(entry("b", 3)), 3));
      assertThat(changesAfter).containsExactly(time.nanoTime());
    }

    // Guards against calls that add nothing while the platform answers others.
    @Test
    void areNotProbedWhileOtherCallsAreAnswered() {
      probing.start();
      probing.poll(ObjectKind.ENTRY_VMS, 2_000);
      probing.probe(KIND, 2_500);
      for (int i = 0; i < 10; i++) {
        directory.answerLast(new DirectoryEntries(List.of(), 2));
        time.advance(2_000, TimeUnit.MILLISECONDS);
      }
      assertThat(directory.calls).hasSize(11);
    }
  }

  @Nested
  class Age {
    // Guards against accepting keys that no watch has confirmed for seconds.
    @Test
    void growsWithoutAnswers() {
      start();
      time.advance(4, TimeUnit.SECONDS);
      assertThat(sync.copy(KIND).ageNanos(time.nanoTime()))
          .isGreaterThanOrEqualTo(TimeUnit.SECONDS.toNanos(4));
    }

    // Guards against keys that are accepted for good after one malformed message of a peer.
    @ParameterizedTest
    @ValueSource(longs = {-1_000, Long.MIN_VALUE, Long.MAX_VALUE})
    void isNotTakenFromPeerIfItCannotBe(long peerAgeMs) {
      start();
      time.advance(4, TimeUnit.SECONDS);
      long provenAt = time.nanoTime() - TimeUnit.MILLISECONDS.toNanos(peerAgeMs);
      sync.applyPeerCopy(KIND, new HistoryPosition(0, 2), null, Map.of(), provenAt);
      sync.applyPeerCopy(
          KIND, new HistoryPosition(0, 3), List.of(entry("c", 3)), Map.of(), provenAt);
      time.advance(4, TimeUnit.SECONDS);
      assertThat(sync.copy(KIND).ageNanos(time.nanoTime()))
          .isGreaterThanOrEqualTo(TimeUnit.SECONDS.toNanos(8));
    }

    // Guards against an empty answer to a watch that counts as proof up to its arrival: the
    // platform may have withheld changes.
    @Test
    void countsFromBeforeTheCallOfTheWatch() {
      start();
      time.advance(1, TimeUnit.SECONDS);
      directory.answerFirst(new DirectoryEntries(List.of(), 2));
      assertThat(sync.copy(KIND).ageNanos(time.nanoTime()))
          .isGreaterThanOrEqualTo(TimeUnit.SECONDS.toNanos(1));
    }
  }

  // Guards against a watch that ends for good because an object was processed with an error, as one
  // that another program wrote.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void watchesOnAfterAnErrorOfItsUser(boolean isError) {
    DirectorySync failing =
        new DirectorySync(
            directory,
            time,
            time,
            3_600,
            kind -> {
              if (isError) {
                throw new StackOverflowError();
              }
              throw new IllegalStateException("by the test");
            },
            () -> {});
    failing.watch(KIND, 1_000, BATCH_DELAY_MS);
    directory.answerFirst(new DirectoryEntries(List.of(entry("a", 1)), 2));
    time.advance(1, TimeUnit.SECONDS);
    assertThat(directory.calls).containsExactly("list", "watch 2");
  }

  // Guards against a change that is never used, since its user failed once: the copy has it
  // already,
  // so that no later answer brings it again.
  @ParameterizedTest
  @EnumSource(ChangeSource.class)
  void reportsChangeAgainAfterAnErrorOfItsUser(ChangeSource source) {
    List<Long> reportedAfter = new ArrayList<>();
    List<Error> errors = new ArrayList<>(List.of(new StackOverflowError()));
    DirectorySync[] failing = new DirectorySync[1];
    failing[0] =
        new DirectorySync(
            directory,
            time,
            time,
            3_600,
            kind -> {
              if (!errors.isEmpty()) {
                throw errors.remove(0);
              }
              reportedAfter.add(failing[0].changesAfter());
            },
            () -> {});
    time.advance(1, TimeUnit.SECONDS);
    failing[0].watch(KIND, 30_000, BATCH_DELAY_MS);
    source.change(failing[0], directory);
    time.advance(1, TimeUnit.SECONDS);
    assertThat(errors).isEmpty();
    assertThat(reportedAfter).containsExactly(TimeUnit.SECONDS.toNanos(1));
  }

  /** Where a change comes from. */
  private enum ChangeSource {
    PLATFORM {
      @Override
      void change(DirectorySync sync, FakeDirectory directory) {
        directory.answerFirst(new DirectoryEntries(List.of(entry("a", 1)), 2));
      }
    },
    PEER {
      @Override
      void change(DirectorySync sync, FakeDirectory directory) {
        List<DirectoryEntry> entries = List.of(entry("a", 1));
        sync.applyPeerCopy(KIND, new HistoryPosition(0, 2), entries, Map.of(), 0);
      }
    };

    abstract void change(DirectorySync sync, FakeDirectory directory);
  }

  // Guards against a watch that ends for good because a call could not be sent.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void readsOnAfterCallThatThrows(boolean watching) {
    directory.error = new StackOverflowError("by the test");
    try {
      if (watching) {
        sync.watch(KIND, 1_000, BATCH_DELAY_MS);
      } else {
        sync.poll(KIND, 1_000);
      }
    } catch (StackOverflowError e) {
      assertThat(e).hasMessage("by the test");
    }
    time.advance(2, TimeUnit.SECONDS);
    sync.refresh(KIND);
    assertThat(directory.calls).containsExactly("list");
  }

  // Guards against replacing the local copy with an older one from a peer.
  @Test
  void peerCopyReplacesOnlyAnOlderCopy() {
    start();
    sync.applyPeerCopy(KIND, new HistoryPosition(0, 1), List.of(entry("old", 1)), Map.of(), 0);
    assertThat(names()).containsExactly("a", "b");
    sync.applyPeerCopy(KIND, new HistoryPosition(0, 9), List.of(entry("new", 9)), Map.of(), 0);
    assertThat(names()).containsExactly("new");
  }

  /** Records calls; the test completes them. */
  private static final class FakeDirectory implements ObjectDirectory {
    private final List<String> calls = new ArrayList<>();
    private Error error;
    private final ArrayDeque<CompletableFuture<DirectoryEntries>> pending = new ArrayDeque<>();

    void answerFirst(DirectoryEntries listing) {
      pending.poll().complete(listing);
    }

    void answerLast(DirectoryEntries listing) {
      pending.pollLast().complete(listing);
    }

    void failLast(Exception failure) {
      pending.pollLast().completeExceptionally(failure);
    }

    void failFirst(Exception failure) {
      pending.poll().completeExceptionally(failure);
    }

    private CompletableFuture<DirectoryEntries> startCall(String call) {
      if (error != null) {
        Error thrown = error;
        error = null;
        throw thrown;
      }
      calls.add(call);
      CompletableFuture<DirectoryEntries> future = new CompletableFuture<>();
      pending.add(future);
      return future;
    }

    @Override
    public CompletableFuture<DirectoryEntries> list(ObjectKind kind, boolean current) {
      return startCall("list");
    }

    @Override
    public CompletableFuture<DirectoryEntries> watch(ObjectKind kind, long revision, long waitMs) {
      return startCall("watch " + revision);
    }

    @Override
    public CompletableFuture<Void> register(String name, String address, String dataCentre) {
      return CompletableFuture.completedFuture(null);
    }
  }
}
