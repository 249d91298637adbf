package org.clementineford.configuration;

import java.util.Optional;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.platform.StoredObject;

/** In-memory object store with a single object, which can also return a stale read. */
final class InMemoryObjectStore {
  private StoredObject object;
  private StoredObject previous;

  Optional<StoredObject> read() {
    return Optional.ofNullable(object);
  }

  Optional<StoredObject> staleRead() {
    return Optional.ofNullable(previous);
  }

  /** Returns null on success, otherwise the kind of the failure. */
  ErrorKind write(long expectedVersion, byte[] value) {
    long version = object == null ? 0 : object.version();
    if (version != expectedVersion) {
      return ErrorKind.CONFLICT;
    }
    previous = object;
    object = new StoredObject("key", version + 1, value);
    return null;
  }

  Document document() throws Exception {
    return object == null ? Document.EMPTY : Document.parse(object.value());
  }
}
