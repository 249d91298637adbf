package org.clementineford.endpoint.internal.weights;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.clementineford.kernel.platform.WeightSource;
import org.clementineford.weights.Manifest;

/** In-memory origin that answers immediately and counts the bytes read. */
final class MemoryOrigin implements WeightSource {
  static final int CHUNK_BYTES = 100;

  private final Map<String, byte[]> weights = new TreeMap<>();
  private final AtomicLong bytesRead = new AtomicLong();

  void publish(String version, int length) {
    byte[] bytes = new byte[length];
    for (int i = 0; i < length; i++) {
      bytes[i] = (byte) (i / CHUNK_BYTES + version.hashCode());
    }
    weights.put(version, bytes);
  }

  Manifest manifestOf(String version) {
    return Manifest.describe(WeightsTestNode.MODEL, version, weights.get(version), CHUNK_BYTES);
  }

  long bytesRead() {
    return bytesRead.get();
  }

  @Override
  public CompletableFuture<byte[]> manifest(String model, String version) {
    return CompletableFuture.completedFuture(manifestOf(version).toJson());
  }

  @Override
  public CompletableFuture<byte[]> read(String model, String version, long offset, int length) {
    bytesRead.addAndGet(length);
    return CompletableFuture.completedFuture(
        Arrays.copyOfRange(weights.get(version), (int) offset, (int) offset + length));
  }
}
