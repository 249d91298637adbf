package org.clementineford.endpoint.internal.weights;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.clementineford.kernel.platform.WeightSource;

/** Reads from the weight store, and from the origin if the store fails or is not configured. */
final class FallbackWeightSource implements WeightSource {
  private final Optional<WeightSource> store;
  private final WeightSource origin;

  FallbackWeightSource(Optional<WeightSource> store, WeightSource origin) {
    this.store = store;
    this.origin = origin;
  }

  @Override
  public CompletableFuture<byte[]> manifest(String model, String version) {
    if (store.isEmpty()) {
      return origin.manifest(model, version);
    }
    return store
        .get()
        .manifest(model, version)
        .handle(
            (bytes, failure) ->
                failure == null
                    ? CompletableFuture.completedFuture(bytes)
                    : origin.manifest(model, version))
        .thenCompose(next -> next);
  }

  @Override
  public CompletableFuture<byte[]> read(String model, String version, long offset, int length) {
    if (store.isEmpty()) {
      return origin.read(model, version, offset, length);
    }
    return store
        .get()
        .read(model, version, offset, length)
        .handle(
            (bytes, failure) ->
                failure == null
                    ? CompletableFuture.completedFuture(bytes)
                    : origin.read(model, version, offset, length))
        .thenCompose(next -> next);
  }
}
