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
 * Watches the revision stored on the platform while this process is one of the watchers, and reads
 * the document if peers do not deliver it.
 */
public final class PlatformWatch {
  private static final long WATCH_TIMEOUT_MS = 30_000;
  private static final long IDLE_DELAY_MS = 1000;
  private static final long MIN_RETRY_MS = 200;
  private static final long MAX_RETRY_MS = 2000;
  // Peers deliver a delta within tens of milliseconds; the complete document has up to 1 MB.
  private static final long PEER_TIMEOUT_MS = 500;

  private final VersionedObjectStore store;
  private final StoredRevision storedRevision;
  private final ConfigurationAgent configuration;
  private final Scheduler scheduler;
  private final BooleanSupplier watcher;
  private long knownVersion;
  private long retryMs = MIN_RETRY_MS;
  private volatile boolean documentRead;
  private boolean stopped;

  /**
   * Creates a watch.
   *
   * @param store the platform's object API
   * @param configuration agent that receives the documents
   * @param scheduler timers
   * @param watcher returns whether this process should watch now
   */
  public PlatformWatch(
      VersionedObjectStore store,
      ConfigurationAgent configuration,
      Scheduler scheduler,
      BooleanSupplier watcher) {
    this.store = store;
    this.storedRevision = new StoredRevision(store);
    this.configuration = configuration;
    this.scheduler = scheduler;
    this.watcher = watcher;
  }

  /** Starts to watch. */
  public void start() {
    step();
  }

  /** Stops watching; the result of a call in progress is ignored. */
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
        .watch(StoredRevision.OBJECT_KEY, version, WATCH_TIMEOUT_MS)
        .whenComplete(
            (object, failure) -> {
              if (failure == null) {
                onWatchResult(object);
              } else {
                retry();
              }
            });
  }

  private void onWatchResult(Optional<StoredObject> object) {
    long platformRevision = object.map(StoredRevision::revision).orElse(0L);
    long ownRevision = configuration.current().revision();
    boolean stale;
    synchronized (this) {
      retryMs = MIN_RETRY_MS;
      stale = object.isPresent() && object.get().version() <= knownVersion;
      knownVersion = Math.max(knownVersion, object.map(StoredObject::version).orElse(0L));
    }
    if (platformRevision > ownRevision) {
      scheduler.schedule(
          () -> readIfBehind(platformRevision), PEER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } else if (object.isPresent() && platformRevision < ownRevision && !stale) {
      // The writer stopped or lost the platform after it wrote the document and before it raised
      // the stored revision.
      storedRevision.raise(ownRevision);
    }
    if (stale) {
      // An immediate retry would get the same outdated copy.
      retry();
    } else {
      step();
    }
  }

  private void readIfBehind(long revision) {
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
                      () -> readIfBehind(revision), MAX_RETRY_MS, TimeUnit.MILLISECONDS);
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
              storedRevision.raise(configuration.current().revision());
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
      configuration.recordRefusal(0, e);
    }
  }

  private void retry() {
    long delay;
    synchronized (this) {
      delay = retryMs / 2 + ThreadLocalRandom.current().nextLong(retryMs / 2 + 1);
      retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    }
    scheduler.schedule(this::step, delay, TimeUnit.MILLISECONDS);
  }
}
