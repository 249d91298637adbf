package org.clementineford.weights;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ChunkStoreTest {
  private static final int CHUNK = 4;

  private final ChunkStore store = new ChunkStore(3 * CHUNK);
  private final byte[] oldWeights = {1, 1, 1, 1, 2, 2, 2, 2};
  private final byte[] newWeights = {1, 1, 1, 1, 3, 3, 3, 3, 4, 4, 4, 4};
  private final Manifest old = Manifest.describe("assistant", "v1", oldWeights, CHUNK);
  private final Manifest next = Manifest.describe("assistant", "v2", newWeights, CHUNK);

  private boolean put(Manifest manifest, byte[] weights, int chunk) {
    byte[] bytes = java.util.Arrays.copyOfRange(weights, chunk * CHUNK, (chunk + 1) * CHUNK);
    return store.put(manifest.chunkDigests().get(chunk), bytes);
  }

  @Nested
  class Space {
    // Guards against dropping chunks of the version that is still served.
    @Test
    void isNotTakenFromPinnedVersions() {
      store.pin(old);
      store.pin(next);
      put(old, oldWeights, 0);
      put(old, oldWeights, 1);
      assertThat(put(next, newWeights, 1)).isTrue();
      assertThat(put(next, newWeights, 2)).isFalse();
      assertThat(store.contains(old.chunkDigests().get(1))).isTrue();
    }

    // Guards against memory use that grows with each version.
    @Test
    void isTakenFromVersionsNoLongerWanted() {
      store.pin(old);
      put(old, oldWeights, 0);
      put(old, oldWeights, 1);
      store.unpin(old.address());
      store.pin(next);
      assertThat(put(next, newWeights, 1)).isTrue();
      assertThat(put(next, newWeights, 2)).isTrue();
      assertThat(store.allocatedBytes()).isEqualTo(3 * CHUNK);
    }
  }

  // Guards against fetching chunks again that an older version shares with the new one.
  @Test
  void findsEqualChunksOfAnotherVersion() {
    put(old, oldWeights, 0);
    assertThat(store.contains(next.chunkDigests().get(0))).isTrue();
    assertThat(store.read(next.chunkDigests().get(0), 1, 100)).hasValue(new byte[] {1, 1, 1});
  }
}
