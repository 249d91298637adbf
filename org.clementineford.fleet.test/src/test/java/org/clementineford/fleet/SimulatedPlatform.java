package org.clementineford.fleet;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.PlatformException;
import org.clementineford.serving.directory.DirectoryEntries;
import org.clementineford.serving.directory.DirectoryEntry;
import org.clementineford.serving.directory.ObjectDirectory;
import org.clementineford.serving.directory.ObjectKind;
import org.clementineford.testing.VirtualTime;

/** Object API with a history of changes, which can be restored from a copy. */
final class SimulatedPlatform {
  private static final long ANSWER_MS = 4;

  private final VirtualTime time;
  private final List<Change> history = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();
  private Map<ObjectKind, TreeMap<String, DirectoryEntry>> objects =
      new EnumMap<>(ObjectKind.class);
  private long era = 1;
  private long revision = 1;
  private boolean down;
  private int calls;

  private record Change(long revision, ObjectKind kind, DirectoryEntry entry) {}

  private record Watch(
      Client client, ObjectKind kind, long since, CompletableFuture<DirectoryEntries> future) {}

  /** The objects at one time. */
  record Copy(Map<ObjectKind, TreeMap<String, DirectoryEntry>> objects, long revision) {}

  SimulatedPlatform(VirtualTime time) {
    this.time = time;
  }

  /** Writes an object that operators do not version. */
  void put(ObjectKind kind, String name) {
    put(kind, name, 0);
  }

  /** Writes an object without content. */
  void put(ObjectKind kind, String name, long operatorVersion) {
    put(kind, name, new byte[0], operatorVersion);
  }

  /** Writes an object. */
  void put(ObjectKind kind, String name, byte[] content, long operatorVersion) {
    revision++;
    change(kind, new DirectoryEntry(name, revision, content, false, operatorVersion));
  }

  /** Removes an object. */
  void remove(ObjectKind kind, String name) {
    revision++;
    change(kind, new DirectoryEntry(name, revision, new byte[0], true));
  }

  private void change(ObjectKind kind, DirectoryEntry entry) {
    TreeMap<String, DirectoryEntry> ofKind = objects.computeIfAbsent(kind, key -> new TreeMap<>());
    if (entry.removed()) {
      ofKind.remove(entry.name());
    } else {
      ofKind.put(entry.name(), entry);
    }
    history.add(new Change(revision, kind, entry));
    watches.removeIf(
        watch -> {
          boolean due = watch.kind() == kind;
          if (due) {
            watch.client().answer(watch.future(), changesSince(kind, watch.since()));
          }
          return due;
        });
  }

  Copy copy() {
    Map<ObjectKind, TreeMap<String, DirectoryEntry>> copied = new EnumMap<>(ObjectKind.class);
    objects.forEach((kind, ofKind) -> copied.put(kind, new TreeMap<>(ofKind)));
    return new Copy(copied, revision);
  }

  /** Breaks off all watches and fails all calls until {@link #restore} or {@link #recover}. */
  void goDown() {
    down = true;
    watches.forEach(watch -> watch.client().fail(watch.future(), ErrorKind.UNAVAILABLE));
    watches.clear();
  }

  void recover() {
    down = false;
  }

  /** Comes back from a copy, in a new era. */
  void restore(Copy copy) {
    objects = new EnumMap<>(ObjectKind.class);
    copy.objects().forEach((kind, ofKind) -> objects.put(kind, new TreeMap<>(ofKind)));
    history.removeIf(change -> change.revision() > copy.revision());
    revision = copy.revision();
    era++;
    down = false;
  }

  long era() {
    return era;
  }

  /** Returns the number of calls of all clients. */
  int calls() {
    return calls;
  }

  private DirectoryEntries changesSince(ObjectKind kind, long since) {
    List<DirectoryEntry> changes =
        history.stream()
            .filter(change -> change.kind() == kind && change.revision() > since)
            .map(Change::entry)
            .toList();
    return new DirectoryEntries(changes, OptionalLong.of(era), revision);
  }

  /** The connection of one VM. */
  final class Client implements ObjectDirectory {
    private final List<String> registrations = new ArrayList<>();
    private boolean cutOff;
    private long answerMs = ANSWER_MS;

    void setCutOff(boolean cutOff) {
      this.cutOff = cutOff;
    }

    /** Sets the time that answers take, from those on that the platform gives now. */
    void setAnswerMs(long answerMs) {
      this.answerMs = answerMs;
    }

    /** Returns the names that were registered through this client. */
    List<String> registrations() {
      return registrations;
    }

    private void answer(CompletableFuture<DirectoryEntries> future, DirectoryEntries entries) {
      time.schedule(() -> deliver(future, entries), answerMs, TimeUnit.MILLISECONDS);
    }

    private void deliver(CompletableFuture<DirectoryEntries> future, DirectoryEntries entries) {
      if (cutOff) {
        failNow(future, ErrorKind.UNAVAILABLE);
      } else {
        future.complete(entries);
      }
    }

    private void fail(CompletableFuture<?> future, ErrorKind kind) {
      time.schedule(() -> failNow(future, kind), ANSWER_MS, TimeUnit.MILLISECONDS);
    }

    private void failNow(CompletableFuture<?> future, ErrorKind kind) {
      future.completeExceptionally(new PlatformException(kind, "no answer"));
    }

    @Override
    public CompletableFuture<DirectoryEntries> list(ObjectKind kind, boolean current) {
      calls++;
      CompletableFuture<DirectoryEntries> future = new CompletableFuture<>();
      if (down || cutOff) {
        fail(future, ErrorKind.UNAVAILABLE);
      } else {
        List<DirectoryEntry> listed =
            List.copyOf(objects.getOrDefault(kind, new TreeMap<>()).values());
        answer(future, new DirectoryEntries(listed, OptionalLong.of(era), revision));
      }
      return future;
    }

    @Override
    public CompletableFuture<DirectoryEntries> watch(ObjectKind kind, long since, long waitMs) {
      calls++;
      CompletableFuture<DirectoryEntries> future = new CompletableFuture<>();
      if (down || cutOff) {
        fail(future, ErrorKind.UNAVAILABLE);
      } else if (since > revision) {
        fail(future, ErrorKind.NOT_FOUND);
      } else if (!changesSince(kind, since).entries().isEmpty()) {
        answer(future, changesSince(kind, since));
      } else {
        Watch watch = new Watch(this, kind, since, future);
        watches.add(watch);
        time.schedule(
            () -> {
              if (watches.remove(watch)) {
                answer(future, changesSince(kind, since));
              }
            },
            waitMs,
            TimeUnit.MILLISECONDS);
      }
      return future;
    }

    @Override
    public CompletableFuture<Void> register(String name, String address, String dataCentre) {
      calls++;
      CompletableFuture<Void> future = new CompletableFuture<>();
      if (down || cutOff) {
        fail(future, ErrorKind.UNAVAILABLE);
      } else {
        registrations.add(name);
        put(ObjectKind.ENTRY_VMS, name);
        future.complete(null);
      }
      return future;
    }
  }
}
