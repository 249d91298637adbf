package org.clementineford.node.internal;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.platform.StoredObject;
import org.clementineford.kernel.platform.VersionedObjectStore;

/**
 * The small object {@code configuration/revision}, which holds the revision of the document.
 * Watchers watch it instead of the document: the document can be up to 1 MB long, and in most cases
 * peers deliver its changes as a delta of a few kilobytes.
 */
public final class StoredRevision {
  /** Key of the object. */
  public static final String OBJECT_KEY = "configuration/revision";

  private static final int ATTEMPTS = 5;

  private final VersionedObjectStore store;

  /**
   * Creates an accessor for the object.
   *
   * @param store the platform's object API
   */
  public StoredRevision(VersionedObjectStore store) {
    this.store = store;
  }

  /**
   * Parses the revision.
   *
   * @param object the stored object
   * @return the revision, or 0 if the value is not a number
   */
  public static long revision(StoredObject object) {
    try {
      return Long.parseLong(new String(object.value(), StandardCharsets.UTF_8).trim());
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /**
   * Raises the stored revision unless it is at least as high already.
   *
   * @param revision lower bound of the revision of the stored document
   * @return a future that completes when the platform has answered or failed; watchers repair a
   *     failure
   */
  public CompletableFuture<Void> raise(long revision) {
    return raise(revision, ATTEMPTS);
  }

  private CompletableFuture<Void> raise(long revision, int attempts) {
    return store
        .get(OBJECT_KEY)
        .thenCompose(object -> write(object, revision))
        .handle(
            (written, failure) ->
                failure == null ? null : ClementinefordExceptions.from(failure).kind())
        .thenCompose(
            failure ->
                failure == ErrorKind.CONFLICT && attempts > 1
                    ? raise(revision, attempts - 1)
                    : CompletableFuture.completedFuture(null));
  }

  private CompletableFuture<Long> write(Optional<StoredObject> object, long revision) {
    byte[] value = Long.toString(revision).getBytes(StandardCharsets.UTF_8);
    if (object.isEmpty()) {
      return store.create(OBJECT_KEY, value);
    }
    if (revision(object.get()) >= revision) {
      return CompletableFuture.completedFuture(object.get().version());
    }
    return store.update(OBJECT_KEY, object.get().version(), value);
  }
}
