package org.clementineford.node.internal;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.clementineford.configuration.Document;
import org.clementineford.configuration.errors.DocumentException;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.platform.StoredObject;
import org.clementineford.kernel.platform.VersionedObjectStore;

/**
 * Watches the revision on the platform while this process is one of the watchers, and reads the
 * document if peers do not deliver it.
 */
public final class PlatformWatch {
  private static final long WATCH_TIMEOUT_MS = 30_000;
  private static final long IDLE_DELAY_MS = 1000;
  private static final long FIRST_RETRY_MS = 200;
  private static final long LAST_RETRY_MS = 2000;
  // Peers deliver a delta within tens of milliseconds; the whole document costs up to 1 MB.
  private static final long PEER_TIMEOUT_MS = 500;

  private final VersionedObjectStore store;
  private final RevisionMark mark;
  private final ConfigurationAgent configuration;
  private final Scheduler scheduler;
  private final BooleanSupplier watcher;
  private long knownVersion;
  private long retryMs = FIRST_RETRY_MS;
  private volatile boolean documentRead;
  private boolean stopped;

  /**
   * Creates a watch.
   *
   * @param store the platform's object API
   * @param configuration takes the documents
   * @param scheduler timers
   * @param watcher tells whether this process should watch now
   */
  public PlatformWatch(
      VersionedObjectStore store,
      ConfigurationAgent configuration,
      Scheduler scheduler,
      BooleanSupplier watcher) {
    this.store = store;
    this.mark = new RevisionMark(store);
    this.configuration = configuration;
    this.scheduler = scheduler;
    this.watcher = watcher;
  }

  /** Starts to watch. */
  public void start() {
    step();
  }

  /** Stops; a call in progress is ignored when it ends. */
  public synchronized void stop() {
    stopped = true;
  }

  private synchronized boolean isStopped() {
    return stopped;
  }

  private void step() {
    if (isStopped()) {
      return;
    }
    if (!watcher.getAsBoolean()) {
      scheduler.schedule(this::step, IDLE_DELAY_MS, TimeUnit.MILLISECONDS);
    } else if (!documentRead) {
      readDocument();
    } else {
      watch();
    }
  }

  private void watch() {
    long version;
    synchronized (this) {
      version = knownVersion;
    }
    store
        .watch(RevisionMark.OBJECT_KEY, version, WATCH_TIMEOUT_MS)
        .whenComplete(
            (object, failure) -> {
              if (failure == null) {
                changed(object);
              } else {
                retry();
              }
            });
  }

  private void changed(Optional<StoredObject> object) {
    long marked = object.map(RevisionMark::revision).orElse(0L);
    long own = configuration.current().revision();
    boolean stale;
    synchronized (this) {
      retryMs = FIRST_RETRY_MS;
      stale = object.isPresent() && object.get().version() <= knownVersion;
      knownVersion = Math.max(knownVersion, object.map(StoredObject::version).orElse(0L));
    }
    if (marked > own) {
      scheduler.schedule(() -> readIfLacking(marked), PEER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } else if (object.isPresent() && marked < own && !stale) {
      // The writer stopped, or lost the platform, between the document and the mark.
      mark.raise(own);
    }
    if (stale) {
      // Asking again at once would get the same old copy.
      retry();
    } else {
      step();
    }
  }

  private void readIfLacking(long revision) {
    if (!isStopped() && configuration.current().revision() < revision) {
      store
          .get(Document.OBJECT_KEY)
          .whenComplete(
              (object, failure) -> {
                if (failure == null) {
                  offer(object);
                }
                if (configuration.current().revision() < revision) {
                  scheduler.schedule(
                      () -> readIfLacking(revision), LAST_RETRY_MS, TimeUnit.MILLISECONDS);
                }
              });
    }
  }

  private void readDocument() {
    store
        .get(Document.OBJECT_KEY)
        .whenComplete(
            (object, failure) -> {
              if (failure != null) {
                retry();
                return;
              }
              documentRead = true;
              offer(object);
              mark.raise(configuration.current().revision());
              step();
            });
  }

  private void offer(Optional<StoredObject> object) {
    if (object.isEmpty() || isStopped()) {
      return;
    }
    try {
      configuration.offer(Document.parse(object.get().value()), "platform");
    } catch (DocumentException e) {
      configuration.refuse(0, e);
    }
  }

  private void retry() {
    long delay;
    synchronized (this) {
      delay = retryMs / 2 + ThreadLocalRandom.current().nextLong(retryMs / 2 + 1);
      retryMs = Math.min(LAST_RETRY_MS, retryMs * 2);
    }
    scheduler.schedule(this::step, delay, TimeUnit.MILLISECONDS);
  }
}
