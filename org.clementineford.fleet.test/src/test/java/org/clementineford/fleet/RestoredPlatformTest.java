package org.clementineford.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.clementineford.serving.directory.DirectoryEntry;
import org.clementineford.serving.directory.HistoryPosition;
import org.clementineford.serving.directory.ObjectKind;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RestoredPlatformTest {
  private static final ObjectKind KIND = ObjectKind.CONFIGURATION;
  private static final String NAME = "main";

  /** Time after which the platform removes an entry that is not written. */
  private static final long EXPIRY_MS = 3_600;

  /** Time within which a confirmed configuration must be in force, in milliseconds. */
  private static final long APPLY_MS = 2_000;

  private final VirtualTime time = new VirtualTime(0);
  private final SimulatedPlatform platform = new SimulatedPlatform(time);
  private final SimulatedPlatform.Client client = platform.new Client();
  private final DirectorySync sync =
      new DirectorySync(client, time, time, EXPIRY_MS, kind -> {}, () -> {});

  private void advanceMs(long durationMs) {
    time.advance(durationMs, TimeUnit.MILLISECONDS);
  }

  private void write(int version) {
    platform.put(KIND, NAME, version);
  }

  private long version() {
    return sync.copy(KIND).entries().get(0).operatorVersion();
  }

  private void startWith(int version) {
    write(version);
    sync.start();
    sync.watch(KIND, 1_000, 0);
    advanceMs(500);
    assertThat(version()).isEqualTo(version);
  }

  // Guards against changes that a copy misses because the restored platform gives revisions out
  // again; the new revisions are below, at and above those of the copy.
  @ParameterizedTest
  @CsvSource({"5, 1, 0", "5, 1, 3", "5, 1, 4", "5, 1, 5", "1, 1, 0", "1, 1, 3", "2, 3, 0"})
  void changesAfterTheRestorationAreReceived(int lost, int written, int others) {
    startWith(1);
    final SimulatedPlatform.Copy copy = platform.copy();
    for (int i = 0; i < lost; i++) {
      write(2 + i);
    }
    advanceMs(500);
    platform.goDown();
    advanceMs(2_000);
    platform.restore(copy);
    for (int i = 0; i < others; i++) {
      platform.put(ObjectKind.ENDPOINTS, "e" + i);
      advanceMs(300);
    }
    for (int i = 0; i < written; i++) {
      write(10 + i);
      advanceMs(300);
    }
    advanceMs(APPLY_MS);
    assertThat(version()).isEqualTo(9 + written);
  }

  // Guards against listing and watching in a loop while the platform's revision is below the copy.
  @Test
  void callsDoNotMultiplyAfterTheRestoration() {
    restoreWithoutTheLastVersion();
    int before = platform.calls();
    advanceMs(5_000);
    // One listing, and one watch a second.
    assertThat(platform.calls() - before).isLessThanOrEqualTo(8);
  }

  /** Writes versions 1 and 2, and restores the platform from a copy without version 2. */
  private void restoreWithoutTheLastVersion() {
    startWith(1);
    final SimulatedPlatform.Copy copy = platform.copy();
    write(2);
    advanceMs(500);
    platform.goDown();
    advanceMs(2_000);
    platform.restore(copy);
  }

  // Guards against a confirmed configuration that is given up for the one of the copy.
  @Test
  void confirmedConfigurationStaysInForceUntilItIsWrittenAgain() {
    restoreWithoutTheLastVersion();
    advanceMs(60_000);
    assertThat(version()).isEqualTo(2);
    write(2);
    advanceMs(APPLY_MS);
    assertThat(sync.copy(KIND).kept()).isEmpty();
    write(3);
    advanceMs(APPLY_MS);
    assertThat(version()).isEqualTo(3);
  }

  // Guards against a VM that missed a configuration while it was cut off, and accepts a key that
  // was removed by it, since the restored platform has lost it too.
  @Test
  void listingOfTheNextEraDoesNotProveTheConfigurationOfVmThatWasCutOff() {
    startWith(1);
    advanceMs(3_000);
    final SimulatedPlatform.Copy copy = platform.copy();
    client.setCutOff(true);
    advanceMs(1_000);
    write(2);
    platform.goDown();
    advanceMs(2_000);
    platform.restore(copy);
    client.setCutOff(false);
    advanceMs(2_500);
    assertThat(version()).isEqualTo(1);
    assertThat(sync.copy(KIND).ageNanos(time.nanoTime()))
        .isGreaterThan(TimeUnit.MILLISECONDS.toNanos(4_000));
    write(2);
    advanceMs(100);
    assertThat(version()).isEqualTo(2);
    advanceMs(2_000);
    assertThat(sync.copy(KIND).ageNanos(time.nanoTime()))
        .isLessThan(TimeUnit.MILLISECONDS.toNanos(3_000));
  }

  // Guards against changes that are missed after the second of two restorations.
  @Test
  void secondRestorationIsNoticedLikeTheFirst() {
    startWith(1);
    final SimulatedPlatform.Copy copy = platform.copy();
    for (int version = 2; version <= 4; version++) {
      write(version);
      advanceMs(200);
      platform.goDown();
      advanceMs(300);
      platform.restore(copy);
      advanceMs(300);
    }
    write(9);
    advanceMs(APPLY_MS);
    assertThat(version()).isEqualTo(9);
  }

  // Guards against a VM that misses changes because its watch survived the restoration.
  @Test
  void vmWithoutOutageLearnsOfTheRestorationFromItsWatch() {
    startWith(1);
    final SimulatedPlatform.Copy copy = platform.copy();
    write(2);
    advanceMs(500);
    platform.restore(copy);
    write(5);
    advanceMs(APPLY_MS);
    assertThat(version()).isEqualTo(5);
  }

  // Guards against a slow answer of the era before that replaces what was read since.
  @Test
  void lateAnswerOfTheEraBeforeIsIgnored() {
    startWith(1);
    sync.poll(ObjectKind.ENDPOINTS, 300);
    advanceMs(100);
    final SimulatedPlatform.Copy copy = platform.copy();
    platform.put(ObjectKind.ENDPOINTS, "lost");
    client.setAnswerMs(1_500);
    advanceMs(350);
    client.setAnswerMs(4);
    platform.restore(copy);
    write(5);
    advanceMs(1_000);
    assertThat(version()).isEqualTo(5);
    advanceMs(APPLY_MS);
    assertThat(version()).isEqualTo(5);
    assertThat(sync.copy(ObjectKind.ENDPOINTS).entries()).isEmpty();
  }

  @Nested
  class PeerCopy {
    private final List<DirectoryEntry> entries =
        List.of(new DirectoryEntry(NAME, 1, new byte[0], false, 7));

    // Guards against a copy of a VM that has not noticed the restoration, whose revision is higher.
    @Test
    void ofTheEraBeforeIsIgnored() {
      restoreWithoutTheLastVersion();
      advanceMs(1_000);
      sync.applyPeerCopy(KIND, new HistoryPosition(1, 99), entries, Map.of(), time.nanoTime());
      assertThat(version()).isNotEqualTo(7);
      final long age = sync.copy(KIND).ageNanos(time.nanoTime());
      sync.applyPeerCopy(KIND, new HistoryPosition(1, 0), null, Map.of(), time.nanoTime());
      assertThat(sync.copy(KIND).ageNanos(time.nanoTime())).isEqualTo(age);
    }

    // Guards against a VM that is cut off from the platform and keeps to the history before.
    @Test
    void ofTheNextEraReplacesOneOfHigherRevision() {
      startWith(1);
      write(2);
      advanceMs(500);
      client.setCutOff(true);
      sync.applyPeerCopy(KIND, new HistoryPosition(2, 1), entries, Map.of(), time.nanoTime());
      assertThat(version()).isEqualTo(7);
    }
  }
}
