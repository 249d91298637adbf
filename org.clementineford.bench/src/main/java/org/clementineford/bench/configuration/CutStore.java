package org.clementineford.bench.configuration;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.PlatformException;
import org.clementineford.kernel.platform.StoredObject;
import org.clementineford.kernel.platform.VersionedObjectStore;

/**
 * A platform whose watches fail while it is cut off, so that only the process that made a change
 * knows of it, as if the platform went down right after it accepted the change.
 */
final class CutStore implements VersionedObjectStore {
  private final VersionedObjectStore store;
  private final BooleanSupplier cut;

  CutStore(VersionedObjectStore store, BooleanSupplier cut) {
    this.store = store;
    this.cut = cut;
  }

  private <T> CompletableFuture<T> unlessCut(CompletableFuture<T> call) {
    return call.thenCompose(
        value ->
            cut.getAsBoolean()
                ? CompletableFuture.failedFuture(
                    new PlatformException(ErrorKind.UNAVAILABLE, "cut off by the measurement"))
                : CompletableFuture.completedFuture(value));
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> get(String key) {
    return store.get(key);
  }

  @Override
  public CompletableFuture<Long> create(String key, byte[] value) {
    return store.create(key, value);
  }

  @Override
  public CompletableFuture<Long> update(String key, long expectedVersion, byte[] value) {
    return store.update(key, expectedVersion, value);
  }

  @Override
  public CompletableFuture<Void> delete(String key, long expectedVersion) {
    return store.delete(key, expectedVersion);
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> watch(
      String key, long knownVersion, long timeoutMs) {
    return unlessCut(store.watch(key, knownVersion, timeoutMs));
  }

  @Override
  public CompletableFuture<List<String>> list(String prefix) {
    return store.list(prefix);
  }
}
