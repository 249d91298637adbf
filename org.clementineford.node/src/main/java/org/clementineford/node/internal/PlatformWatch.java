package org.clementineford.node.internal;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.clementineford.configuration.Document;
import org.clementineford.configuration.errors.DocumentException;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.CompletionExceptions;
import org.clementineford.kernel.platform.StoredObject;
import org.clementineford.kernel.platform.VersionedObjectStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches the revision stored on the platform while this process is one of the watchers, and reads
 * the document if peers do not deliver it.
 */
public final class PlatformWatch {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformWatch.class);

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

  /**
   * Makes the next step. A step that throws counts as a failed call, or the watch would end for
   * good.
   */
  private void step() {
    if (isStopped()) {
      return;
    }
    CompletableFuture.completedFuture(this)
        .thenCompose(PlatformWatch::call)
        .whenComplete(
            (next, failure) -> {
              if (failure == null) {
                next.run();
              } else {
                logUnexpected(failure);
                retry();
              }
            });
  }

  /** Sends the call that is due and processes its answer; returns what to do then. */
  private CompletableFuture<Runnable> call() {
    if (!watcher.getAsBoolean()) {
      return CompletableFuture.completedFuture(
          () -> scheduler.schedule(this::step, IDLE_DELAY_MS, TimeUnit.MILLISECONDS));
    }
    return documentRead ? watch() : readDocument();
  }

  private CompletableFuture<Runnable> watch() {
    long version;
    synchronized (this) {
      version = knownVersion;
    }
    return store
        .watch(StoredRevision.OBJECT_KEY, version, WATCH_TIMEOUT_MS)
        .thenApply(this::onWatchResult);
  }

  private static void logUnexpected(Throwable failure) {
    Throwable cause = CompletionExceptions.unwrap(failure);
    if (!(cause instanceof ClementinefordException)) {
      LOG.error("failed to process what the platform stores; watching on", cause);
    }
  }

  private Runnable onWatchResult(Optional<StoredObject> object) {
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
    // An immediate retry would get the same outdated copy.
    return stale ? this::retry : this::step;
  }

  private void readIfBehind(long revision) {
    if (!isStopped() && configuration.current().revision() < revision) {
      CompletableFuture.completedFuture(Document.OBJECT_KEY)
          .thenCompose(store::get)
          .thenAccept(this::offer)
          .whenComplete(
              (done, failure) -> {
                if (failure != null) {
                  logUnexpected(failure);
                }
                if (configuration.current().revision() < revision) {
                  scheduler.schedule(
                      () -> readIfBehind(revision), MAX_RETRY_MS, TimeUnit.MILLISECONDS);
                }
              });
    }
  }

  private CompletableFuture<Runnable> readDocument() {
    return store
        .get(Document.OBJECT_KEY)
        .thenApply(
            object -> {
              documentRead = true;
              offer(object);
              storedRevision.raise(configuration.current().revision());
              return this::step;
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
