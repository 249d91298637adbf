package org.clementineford.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.PlatformException;
import org.clementineford.serving.directory.Listing;
import org.clementineford.serving.directory.ObjectDirectory;
import org.clementineford.serving.directory.ObjectKind;
import org.clementineford.serving.directory.StoredEntry;
import org.clementineford.testing.PausedTime;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DirectorySyncTest {
  private static final ObjectKind KIND = ObjectKind.ENDPOINTS;
  private static final long REST_MS = 300;

  private final PausedTime time = new PausedTime(0);
  private final FakeDirectory directory = new FakeDirectory();
  private final List<ObjectKind> changes = new ArrayList<>();
  private final DirectorySync sync = new DirectorySync(directory, time, time, changes::add);

  private static StoredEntry entry(String name, long revision) {
    return new StoredEntry(name, revision, new byte[0], false);
  }

  private static PlatformException failure(ErrorKind kind) {
    return new PlatformException(kind, "no answer");
  }

  private List<String> names() {
    return sync.copy(KIND).entries().stream().map(StoredEntry::name).sorted().toList();
  }

  private void start() {
    sync.start();
    sync.watch(KIND, 1_000, REST_MS);
    directory.answer(new Listing(List.of(entry("a", 1), entry("b", 2)), 2));
    time.advance(REST_MS, TimeUnit.MILLISECONDS);
  }

  @Nested
  class Watch {
    // Guards against changes that are missed between the listing and the watch, and against a call
    // for each of many changes.
    @Test
    void continuesFromTheRevisionOfTheListing() {
      start();
      assertThat(directory.asked).containsExactly("list", "watch 2");
      directory.answer(new Listing(List.of(entry("c", 3)), 3));
      assertThat(names()).containsExactly("a", "b", "c");
      assertThat(directory.asked).endsWith("watch 2");
      time.advance(REST_MS, TimeUnit.MILLISECONDS);
      assertThat(directory.asked).endsWith("watch 3");
      assertThat(changes).hasSize(2);
    }

    // Guards against going on with a watch whose history is lost.
    @Test
    void listsAgainWhenTheHistoryIsLost() {
      start();
      directory.fail(new CompletionException(failure(ErrorKind.NOT_FOUND)));
      time.advance(50, TimeUnit.MILLISECONDS);
      assertThat(directory.asked).endsWith("list");
    }

    // Guards against a storm of calls while the platform is away.
    @Test
    void waitsLongerAfterEachFailure() {
      start();
      int calls = directory.asked.size();
      for (int i = 0; i < 20; i++) {
        if (!directory.pending.isEmpty()) {
          directory.fail(failure(ErrorKind.UNAVAILABLE));
        }
        time.advance(100, TimeUnit.MILLISECONDS);
      }
      assertThat(directory.asked.size() - calls).isBetween(3, 6);
    }
  }

  @Nested
  class Outage {
    // Guards against dropping endpoints that lapsed while the platform was away.
    @Test
    void keepsEntriesThatMayReturn() {
      start();
      directory.fail(failure(ErrorKind.UNAVAILABLE));
      time.advance(1, TimeUnit.SECONDS);
      directory.answer(new Listing(List.of(new StoredEntry("a", 5, new byte[0], true)), 5));
      assertThat(names()).containsExactly("a", "b");
      time.advance(2_100, TimeUnit.MILLISECONDS);
      assertThat(names()).containsExactly("b");
    }
  }

  @Nested
  class SilentPlatform {
    private final ObjectKind polled = ObjectKind.ENTRY_VMS;

    private void loseAndRegain() {
      sync.poll(polled, 5_000);
      directory.failLast(failure(ErrorKind.UNAVAILABLE));
      time.advance(1, TimeUnit.SECONDS);
      directory.answerLast(new Listing(List.of(), 3));
    }

    // Guards against a watch that the platform forgot in an outage: what changed meanwhile would be
    // learnt only at the end of the watch.
    @Test
    void isAskedAgainByEachWatchOnceItIsBack() {
      start();
      loseAndRegain();
      assertThat(directory.asked).endsWith("watch 2");
      directory.answerLast(new Listing(List.of(entry("c", 3)), 3));
      assertThat(names()).containsExactly("a", "b", "c");
    }

    // Guards against an answer to the forgotten watch that takes the copy back.
    @Test
    void mayAnswerTheForgottenWatchLate() {
      start();
      loseAndRegain();
      directory.answerLast(new Listing(List.of(entry("c", 3)), 3));
      final int calls = directory.asked.size();
      directory.answer(new Listing(List.of(), 2));
      assertThat(names()).containsExactly("a", "b", "c");
      assertThat(directory.asked).hasSize(calls);
    }
  }

  @Nested
  class Age {
    // Guards against trust in keys that a watch has not confirmed for seconds.
    @Test
    void growsWhileNothingIsAnswered() {
      start();
      time.advance(4, TimeUnit.SECONDS);
      assertThat(sync.copy(KIND).ageNanos(time.nanoTime()))
          .isGreaterThanOrEqualTo(TimeUnit.SECONDS.toNanos(4));
    }

    // Guards against counting an empty answer as proof for the time at which it came.
    @Test
    void ofTheWatchCountsFromBeforeItsCall() {
      start();
      time.advance(1, TimeUnit.SECONDS);
      directory.answer(new Listing(List.of(), 2));
      assertThat(sync.copy(KIND).ageNanos(time.nanoTime()))
          .isGreaterThanOrEqualTo(TimeUnit.SECONDS.toNanos(1));
    }
  }

  // Guards against a peer's copy that is older than the one held here.
  @Test
  void copyOfThePeerReplacesOnlyAnOlderOne() {
    start();
    sync.fromPeer(KIND, 1, List.of(entry("old", 1)), 0);
    assertThat(names()).containsExactly("a", "b");
    sync.fromPeer(KIND, 9, List.of(entry("new", 9)), 0);
    assertThat(names()).containsExactly("new");
  }

  private static final class FakeDirectory implements ObjectDirectory {
    private final List<String> asked = new ArrayList<>();
    private final ArrayDeque<CompletableFuture<Listing>> pending = new ArrayDeque<>();

    void answer(Listing listing) {
      pending.poll().complete(listing);
    }

    void answerLast(Listing listing) {
      pending.pollLast().complete(listing);
    }

    void failLast(Exception failure) {
      pending.pollLast().completeExceptionally(failure);
    }

    void fail(Exception failure) {
      pending.poll().completeExceptionally(failure);
    }

    private CompletableFuture<Listing> ask(String call) {
      asked.add(call);
      CompletableFuture<Listing> future = new CompletableFuture<>();
      pending.add(future);
      return future;
    }

    @Override
    public CompletableFuture<Listing> list(ObjectKind kind, boolean current) {
      return ask("list");
    }

    @Override
    public CompletableFuture<Listing> watch(ObjectKind kind, long revision, long waitMs) {
      return ask("watch " + revision);
    }

    @Override
    public CompletableFuture<Void> register(String name, String address) {
      return CompletableFuture.completedFuture(null);
    }
  }
}
