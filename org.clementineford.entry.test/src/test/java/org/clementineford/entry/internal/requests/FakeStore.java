package org.clementineford.entry.internal.requests;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.PlatformException;
import org.clementineford.kernel.platform.StoredObject;
import org.clementineford.kernel.platform.VersionedObjectStore;

/** In-memory object store with test faults. */
final class FakeStore implements VersionedObjectStore {
  enum Fault {
    NONE,
    DOWN,
    /** Writes take effect, but their replies are lost. */
    LOSE_WRITE_REPLIES,
    /** The next write takes effect, its reply is lost, and all later calls fail. */
    LOSE_REPLY_THEN_DOWN,
    /** Replies to writes are held until {@link #releaseReplies}. */
    HOLD_REPLIES
  }

  private final Map<String, StoredObject> objects = new TreeMap<>();
  private final List<Runnable> heldReplies = new ArrayList<>();
  private Fault fault = Fault.NONE;
  int writes;

  synchronized void fault(Fault fault) {
    this.fault = fault;
  }

  void releaseReplies() {
    List<Runnable> replies = List.copyOf(heldReplies);
    heldReplies.clear();
    replies.forEach(Runnable::run);
  }

  @Override
  public synchronized CompletableFuture<Optional<StoredObject>> get(String key) {
    if (fault == Fault.DOWN) {
      return failed(ErrorKind.UNAVAILABLE);
    }
    return CompletableFuture.completedFuture(Optional.ofNullable(objects.get(key)));
  }

  @Override
  public synchronized CompletableFuture<Long> create(String key, byte[] value) {
    return write(() -> objects.containsKey(key) ? null : put(key, 1, value));
  }

  @Override
  public synchronized CompletableFuture<Long> update(String key, long expected, byte[] value) {
    return write(
        () -> {
          StoredObject current = objects.get(key);
          boolean holds = current != null && current.version() == expected;
          return holds ? put(key, expected + 1, value) : null;
        });
  }

  private Long put(String key, long version, byte[] value) {
    objects.put(key, new StoredObject(key, version, value));
    writes++;
    return version;
  }

  private CompletableFuture<Long> write(Supplier<Long> effect) {
    if (fault == Fault.DOWN) {
      return failed(ErrorKind.UNAVAILABLE);
    }
    Long version = effect.get();
    if (version == null) {
      return failed(ErrorKind.CONFLICT);
    }
    if (fault == Fault.LOSE_REPLY_THEN_DOWN) {
      fault = Fault.DOWN;
      return failed(ErrorKind.OUTCOME_UNKNOWN);
    }
    if (fault == Fault.LOSE_WRITE_REPLIES) {
      return failed(ErrorKind.OUTCOME_UNKNOWN);
    }
    CompletableFuture<Long> reply = new CompletableFuture<>();
    if (fault == Fault.HOLD_REPLIES) {
      heldReplies.add(() -> reply.complete(version));
    } else {
      reply.complete(version);
    }
    return reply;
  }

  private static <T> CompletableFuture<T> failed(ErrorKind kind) {
    return CompletableFuture.failedFuture(new PlatformException(kind, "injected by the test"));
  }

  @Override
  public CompletableFuture<Void> delete(String key, long expectedVersion) {
    objects.remove(key);
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> watch(String key, long known, long timeoutMs) {
    return new CompletableFuture<>();
  }

  @Override
  public CompletableFuture<List<String>> list(String prefix) {
    return CompletableFuture.completedFuture(
        objects.keySet().stream().filter(key -> key.startsWith(prefix)).toList());
  }
}
