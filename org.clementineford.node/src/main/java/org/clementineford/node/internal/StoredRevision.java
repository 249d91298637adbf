package org.clementineford.node.internal;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.platform.StoredObject;
import org.clementineford.kernel.platform.VersionedObjectStore;

/**
 * The small object {@code configuration/revision} that holds the revision of the document. Watchers
 * watch it instead of the document, which can be up to 1 MB long and reaches them from peers as a
 * delta of a few kilobytes in most cases.
 */
public final class RevisionMark {
  /** Key of the object. */
  public static final String OBJECT_KEY = "configuration/revision";

  private static final int ATTEMPTS = 5;

  private final VersionedObjectStore store;

  /**
   * Creates the mark.
   *
   * @param store the platform's object API
   */
  public RevisionMark(VersionedObjectStore store) {
    this.store = store;
  }

  /**
   * Reads the revision.
   *
   * @param object the stored object
   * @return the revision, or 0 if the value is damaged
   */
  public static long revision(StoredObject object) {
    try {
      return Long.parseLong(new String(object.value(), StandardCharsets.UTF_8).trim());
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /**
   * Raises the mark unless it is as high already.
   *
   * @param revision revision that the document has at least
   * @return completes when the platform has answered or failed; a failure is repaired by the
   *     watchers
   */
  public CompletableFuture<Void> raise(long revision) {
    return raise(revision, ATTEMPTS);
  }

  private CompletableFuture<Void> raise(long revision, int attempts) {
    return store
        .get(OBJECT_KEY)
        .thenCompose(object -> write(object, revision))
        .handle((written, failure) -> failure == null ? null : Failures.of(failure).kind())
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
