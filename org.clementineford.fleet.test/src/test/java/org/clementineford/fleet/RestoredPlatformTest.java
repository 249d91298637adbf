package org.clementineford.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.clementineford.serving.directory.ObjectKind;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RestoredPlatformTest {
  private static final ObjectKind KIND = ObjectKind.CONFIGURATION;
  private static final String NAME = "main";

  /** Time within which a confirmed configuration must be in force, in milliseconds. */
  private static final long APPLY_MS = 2_000;

  private final VirtualTime time = new VirtualTime(0);
  private final SimulatedPlatform platform = new SimulatedPlatform(time);
  private final SimulatedPlatform.Client client = platform.new Client();
  private final DirectorySync sync = new DirectorySync(client, time, time, kind -> {});

  private void advanceMs(long durationMs) {
    time.advance(durationMs, TimeUnit.MILLISECONDS);
  }

  private void write(int version) {
    platform.put(KIND, NAME, new byte[] {(byte) version});
  }

  private int version() {
    return sync.copy(KIND).entries().get(0).content()[0];
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
      platform.put(ObjectKind.ENDPOINTS, "e" + i, new byte[0]);
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
    startWith(1);
    final SimulatedPlatform.Copy copy = platform.copy();
    write(2);
    advanceMs(500);
    platform.goDown();
    advanceMs(2_000);
    platform.restore(copy);
    int before = platform.calls();
    advanceMs(5_000);
    // One listing, and one watch a second.
    assertThat(platform.calls() - before).isLessThanOrEqualTo(8);
  }
}
