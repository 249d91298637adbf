package org.clementineford.kernel.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object API: a key-value store whose objects have versions and whose writes are
 * conditional on them.
 *
 * <p>Futures fail with {@link org.clementineford.kernel.errors.PlatformException}: {@code CONFLICT}
 * if the condition of a write was not met, {@code UNAVAILABLE} if the call failed and certainly had
 * no effect, and {@code OUTCOME_UNKNOWN} if a write may have taken effect.
 */
public interface VersionedObjectStore {
  /** Largest value that the platform accepts, in bytes. */
  int MAX_VALUE_BYTES = 1 << 20;

  /**
   * Reads an object.
   *
   * @param key key of the object
   * @return the object, or empty if there is none
   */
  CompletableFuture<Optional<StoredObject>> get(String key);

  /**
   * Creates an object if the key does not exist yet.
   *
   * @param key key of the object
   * @param value the value, at most {@link #MAX_VALUE_BYTES}
   * @return the version of the new object
   */
  CompletableFuture<Long> create(String key, byte[] value);

  /**
   * Replaces an object if it still has the given version.
   *
   * @param key key of the object
   * @param expectedVersion version that the caller read
   * @param value the new value, at most {@link #MAX_VALUE_BYTES}
   * @return the new version
   */
  CompletableFuture<Long> update(String key, long expectedVersion, byte[] value);

  /**
   * Removes an object if it still has the given version.
   *
   * @param key key of the object
   * @param expectedVersion version that the caller read
   * @return future that completes when the object is removed
   */
  CompletableFuture<Void> delete(String key, long expectedVersion);

  /**
   * Waits until an object has another version than the given one. A wait counts as one call,
   * however long it lasts.
   *
   * @param key key of the object
   * @param knownVersion version that the caller has; 0 for none
   * @param timeoutMs longest time to wait, in milliseconds
   * @return the newer object, or empty if the version did not change in that time
   */
  CompletableFuture<Optional<StoredObject>> watch(String key, long knownVersion, long timeoutMs);

  /**
   * Lists the keys that start with a prefix.
   *
   * @param prefix prefix of the keys to list
   * @return the keys, sorted
   */
  CompletableFuture<List<String>> list(String prefix);
}
