package org.clementineford.kernel.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object API.
 *
 * <p>Futures fail with {@link org.clementineford.kernel.errors.PlatformException}: {@code CONFLICT}
 * when the condition did not hold, {@code UNAVAILABLE} when the call certainly had no effect, and
 * {@code OUTCOME_UNKNOWN} when a write may have taken effect.
 */
public interface ObjectStore {
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
   * Creates an object unless the key exists.
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
   * @param expectedVersion version that was read
   * @param value the new value, at most {@link #MAX_VALUE_BYTES}
   * @return the new version
   */
  CompletableFuture<Long> update(String key, long expectedVersion, byte[] value);

  /**
   * Removes an object if it still has the given version.
   *
   * @param key key of the object
   * @param expectedVersion version that was read
   * @return completes when the object is gone
   */
  CompletableFuture<Void> delete(String key, long expectedVersion);

  /**
   * Waits for a version other than the given one. Counts as one call while it waits.
   *
   * @param key key of the object
   * @param knownVersion version that the caller has; 0 for none
   * @param timeoutMs longest time to wait, in milliseconds
   * @return the newer object, or empty if nothing changed in that time
   */
  CompletableFuture<Optional<StoredObject>> watch(String key, long knownVersion, long timeoutMs);

  /**
   * Lists keys.
   *
   * @param prefix first characters of the keys
   * @return the keys in order
   */
  CompletableFuture<List<String>> list(String prefix);
}
